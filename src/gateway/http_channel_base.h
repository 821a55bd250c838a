/**
 * @file http_channel_base.h
 * Calls to one HTTP server, one after the other.
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
 * Keeps its connection from call to call. A call without an answer in time ends
 * its connection: nothing further can be trusted to come on it.
 */
class http_channel : public stream_handler
{
public:
  /** Nothing: no answer. */
  using response_handler = std::function<void(std::optional<http_message>)>;

  http_channel(event_loop& aLoop, model::endpoint aServer);
  ~http_channel() override;

  /**
   * @param aRequest Bytes of the whole request.
   * @pre No call is under way.
   */
  void Call(std::string aRequest,
            model::duration aTimeout,
            response_handler aDone);
  bool Busy() const { return mOnResponse != nullptr; }
  void SetServer(const model::endpoint& aServer);

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

private:
  void Finish(std::optional<http_message> aAnswer, bool aKeep);
  void DropConnection();

  event_loop& mLoop;
  model::endpoint mServer;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  loop_timer mTimer;
  std::string mPendingRequest;
  response_handler mOnResponse;
  bool mConnected = false;
};

} // namespace monsooncroft::gateway

#endif
