/**
 * @file leaf_connection_base.h
 * One connection to a leaf.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_CONNECTION_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_CONNECTION_BASE_H

#include "gateway/http_reader_base.h"
#include "gateway/leaf_attempt_type.h"
#include "gateway/stream_handler_base.h"

namespace monsooncroft::model {
struct endpoint;
}

namespace monsooncroft::gateway {

class event_loop;
class leaf_endpoint;
class tcp_stream;
struct header_names;

/** Carries one request at a time and checks that the answer is its own. */
class leaf_connection : public stream_handler
{
public:
  leaf_connection(event_loop& aLoop,
                  leaf_endpoint& aLeaf,
                  const model::endpoint& aAddress,
                  const header_names& aNames);
  ~leaf_connection() override;

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

  bool Connecting() const { return mState == state::Connecting; }
  /** Free for a request now. */
  bool Usable(model::instant aNow) const;
  bool Busy() const { return mState == state::Busy; }
  /** Time without a request; none while it has one. */
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
  void OnMessage();
  void ReadKeepAliveTimeout(const http_message& aAnswer);

  event_loop& mLoop;
  leaf_endpoint& mLeaf;
  const header_names& mHeaderNames;
  state mState = state::Connecting;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  leaf_attempt_ptr mAttempt;
  model::instant mStateSince; ///< Of the present state.
  model::instant mConnectedAt;
  std::optional<model::duration> mIdleTimeout; ///< After which the leaf closes.
  int mSkippedAnswers = 0; ///< Answers to other requests while this one waits.
  bool mReceivedBytes = false; ///< The leaf has answered on it.
};

} // namespace monsooncroft::gateway

#endif
