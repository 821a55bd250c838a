/**
 * @file leaf_link_base.h
 * One connection to a leaf.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_LINK_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_LINK_BASE_H

#include "gateway/http_reader_base.h"
#include "gateway/leaf_attempt_type.h"
#include "gateway/stream_handler_base.h"

namespace monsooncroft::model {
struct endpoint;
}

namespace monsooncroft::gateway {

class event_loop;
class leaf_peer;
class tcp_stream;
struct header_names;

/** Carries one request at a time and checks that the answer is its own. */
class leaf_link : public stream_handler
{
public:
  leaf_link(event_loop& aLoop,
            leaf_peer& aLeaf,
            const model::endpoint& aAddress,
            const header_names& aNames);
  ~leaf_link() override;

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

  bool Connecting() const { return mState == state::Connecting; }
  /** Free for a request now. */
  bool Usable(model::instant aNow) const;
  bool Busy() const { return mState == state::Busy; }
  /** Time without a request; none while it has one. */
  model::duration IdleFor(model::instant aNow) const
  {
    return mState == state::Idle ? aNow - mSince : model::duration(0);
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

  void ReadOn(std::string_view aBytes);
  void OnMessage();
  void NoteKeepAlive(const http_message& aAnswer);

  event_loop& mLoop;
  leaf_peer& mLeaf;
  const header_names& mNames;
  state mState = state::Connecting;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  leaf_attempt_ptr mAttempt;
  model::instant mSince; ///< Of the present state.
  model::instant mConnected;
  std::optional<model::duration> mIdleLimit; ///< After which the leaf closes.
  int mSkipped = 0;     ///< Answers to other requests while this one waits.
  bool mServed = false; ///< The leaf has answered on it.
};

} // namespace monsooncroft::gateway

#endif
