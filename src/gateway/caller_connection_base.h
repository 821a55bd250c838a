/**
 * @file caller_connection_base.h
 * One HTTP/1.1 connection from a caller.
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

/** Handles the requests of one caller connection in order, one at a time. */
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
  /** Sends an interim answer. */
  void SendProcessing(const std::vector<http_field>& aFields);
  /** Answers the current request, if the instance's stop requires it. */
  void AnswerAtStop(stop_answers aWhich);
  void OnTick(model::instant aNow);
  bool Idle() const; ///< No request is being received or answered.
  /** Shuts down the write side, then waits for the caller to close. */
  void CloseGracefully();

private:
  void ParseRequest();
  /** Reads the supplements of the current request. */
  void ReadAhead();
  /** @return False if the complete message is a request of its own.
   * @pre There is a complete message. */
  bool TakeSupplement();
  /** Answers an invalid or too slow request and closes. */
  void Refuse(int aStatus);
  void SendContinue();
  void Retire();

  uv_http_server& mServer;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  /** Bytes of pipelined requests behind the current one. */
  std::string mUnread;
  exchange_ptr mExchange; ///< The request being answered; null if none.
  /** Start of the current state: idle, reading a head, closing. */
  model::instant mStateSince;
  model::duration mRoundTrip; ///< Round trip to the caller; 0 if not known.
  bool mFirstRequest = true;  ///< No request has been received yet.
  bool mHeadStarted = false;
  /** The Expect field of the current request was handled. */
  bool mExpectHandled = false;
  bool mReadingPaused = false;
  bool mLingering = false;
  bool mRetired = false;
};

} // namespace monsooncroft::gateway

#endif
