/**
 * @file http_channel_base.h
 * Sequential calls to one HTTP server.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_CHANNEL_BASE_H
#define MONSOONCROFT_GATEWAY_HTTP_CHANNEL_BASE_H

#include "gateway/http_reader_base.h"
#include "gateway/loop_timer_base.h"
#include "gateway/stream_handler_base.h"
#include "model/endpoint_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace monsooncroft::gateway {

class event_loop;
class tcp_stream;

/**
 * Reuses its connection between calls. A call that times out closes the
 * connection, because a late response could be taken for the response to the
 * next call.
 */
class http_channel : public stream_handler
{
public:
  /** Called with the response, or nullopt if there is none. */
  using response_handler = std::function<void(std::optional<http_message>)>;
  /** Called for each interim response (1xx). */
  using interim_handler = std::function<void(const http_message&)>;

  http_channel(event_loop& aLoop, model::endpoint aServer);
  ~http_channel() override;

  /**
   * @param aRequest The serialized request.
   * @pre No call is in progress.
   */
  void Call(std::string aRequest,
            model::duration aTimeout,
            response_handler aOnResponse,
            interim_handler aOnInterim = nullptr);
  /** Sends a further message during a call; does nothing without a
   * connection. */
  void SendMore(std::string aBytes);
  /** Ends the call in progress, if any, without a response. */
  void Cancel();
  bool Busy() const { return mOnResponse != nullptr; }
  bool Connected() const { return mConnected; }
  /** When the last call was written to a connection; nothing if it was not. */
  std::optional<model::instant> SentAt() const { return mSentAt; }
  /** What was wrong with the last call's response; empty if nothing was, or if
   * there was none. */
  const char* Defect() const { return mDefect; }
  /** Whether the loop will report something of the connection when it next
   * polls. */
  bool HasUnreportedEvent() const;
  void SetServer(const model::endpoint& aServer);

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

private:
  void Finish(std::optional<http_message> aAnswer, bool aReusable);
  void DropConnection();

  event_loop& mLoop;
  model::endpoint mServer;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  loop_timer mTimer;
  std::string mPendingRequest;
  response_handler mOnResponse;
  interim_handler mOnInterim;
  bool mConnected = false;
  std::optional<model::instant> mSentAt; ///< See SentAt().
  const char* mDefect = "";              ///< See Defect().
};

} // namespace monsooncroft::gateway

#endif
