/**
 * @file leaf_connection_base.h
 * One connection to a leaf.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_CONNECTION_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_CONNECTION_BASE_H

#include "gateway/answer_matcher_base.h"
#include "gateway/http_reader_base.h"
#include "gateway/leaf_attempt_type.h"
#include "gateway/stream_handler_base.h"

#include <memory>

namespace monsooncroft::model {
struct endpoint;
}

namespace monsooncroft::gateway {

class event_loop;
class leaf_endpoint;
class tcp_stream;
struct header_names;

/** Sends one request at a time and checks that the answer belongs to it. */
class leaf_connection : public stream_handler
{
public:
  leaf_connection(event_loop& aLoop,
                  leaf_endpoint& aLeaf,
                  const model::endpoint& aAddress,
                  const header_names& aHeaderNames);
  ~leaf_connection() override;

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

  bool Connecting() const { return mState == state::Connecting; }
  /** Whether a request can be sent now. */
  bool Usable(model::instant aNow) const;
  bool Busy() const { return mState == state::Busy; }
  /** See answer_matcher::MayCarry(). */
  bool MayCarry(const std::shared_ptr<const leaf_request>& aRequest) const
  {
    return mMatcher.MayCarry(aRequest);
  }
  /** Time since the last request ended; 0 if the connection is not idle. */
  model::duration IdleTime(model::instant aNow) const
  {
    return mState == state::Idle ? aNow - mStateSince : model::duration(0);
  }
  void Send(const leaf_attempt_ptr& aAttempt, model::instant aNow);
  void OnTick(model::instant aNow);
  void Close(attempt_end aEnd, const char* aReason);

private:
  enum class state
  {
    Connecting,
    Idle,
    Busy,
    Closed,
  };

  void ParseAnswers(std::string_view aBytes);
  /** @return Whether it ended the request; the answer may follow otherwise. */
  bool OnMessage();
  /** What an answer that ends the request means for the attempt. */
  static attempt_result Judge(answer_match aMatch, const http_message& aAnswer);
  void ReadKeepAliveTimeout(const http_message& aAnswer);
  void ReadRateLimit(const http_message& aAnswer);
  /** Reads what the leaf says of itself in an answer's head, which need not be
   * followed by the whole answer. */
  void ReadNotices();
  /** As ReadNotices(), for an answer that ends before its body. Not for one
   * that the leaf's restart ends: the registration is then of the next process.
   */
  void ReadNoticesOfCutOffAnswer();

  event_loop& mLoop;
  leaf_endpoint& mLeaf;
  const header_names& mHeaderNames;
  state mState = state::Connecting;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  leaf_attempt_ptr mAttempt;
  answer_matcher mMatcher;
  model::instant mStateSince; ///< Start of the current state.
  model::instant mConnectedAt;
  /** Idle time after which the leaf closes, from its Keep-Alive field. */
  std::optional<model::duration> mIdleTimeout;
  bool mReceivedBytes = false; ///< The leaf has sent bytes on this connection.
  bool mNoticesRead = false;   ///< Of the answer that is being read.
};

} // namespace monsooncroft::gateway

#endif
