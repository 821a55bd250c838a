/**
 * @file caller_connection_base.h
 * One caller's connection.
 */
#ifndef MONSOONCROFT_GATEWAY_CALLER_CONNECTION_BASE_H
#define MONSOONCROFT_GATEWAY_CALLER_CONNECTION_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/http_reader_base.h"
#include "gateway/stream_handler_base.h"

#include <memory>
#include <string>

namespace monsooncroft::gateway {

class uv_http_server;
class tcp_stream;

/** Reads requests in order and writes their answers; one at a time. */
class caller_connection : public stream_handler
{
public:
  caller_connection(uv_http_server& aServer,
                    std::unique_ptr<tcp_stream> aStream,
                    model::instant aNow);
  ~caller_connection() override;

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

  void Respond(const http_response& aResponse);
  void OnTick(model::instant aNow);
  bool Idle() const; ///< No request is begun.
  void
  CloseGracefully(); ///< Ends the own direction, then waits for the other's.

private:
  void ParseRequest();
  void Refuse(int aStatus); ///< For bytes that are no proper request.
  void SendContinue();
  void Retire();

  uv_http_server& mServer;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  std::string mUnread;        ///< Of requests behind the one in work.
  exchange_ptr mExchange;     ///< In work.
  model::instant mStateSince; ///< Of the present state: idle, head, lingering.
  model::duration mRoundTrip; ///< To the caller; 0: not known.
  bool mFirstRequest = true;  ///< No request has come yet.
  bool mHeadStarted = false;
  bool mContinueSent = false; ///< The body was asked for.
  bool mReadingPaused = false;
  bool mLingering = false;
  bool mRetired = false;
};

} // namespace monsooncroft::gateway

#endif
