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

class http_server;
class tcp_stream;

/** Reads requests in order and writes their answers; one at a time. */
class caller_connection : public stream_handler
{
public:
  caller_connection(http_server& aServer,
                    std::unique_ptr<tcp_stream> aStream,
                    model::instant aNow);
  ~caller_connection() override;

  void OnConnected(bool aSuccess) override;
  void OnBytes(std::string_view aBytes) override;
  void OnEnd(stream_end aEnd) override;

  void Respond(const http_response& aResponse);
  void OnTick(model::instant aNow);
  bool Idle() const;  ///< No request is begun.
  void CloseGently(); ///< Ends the own direction, then waits for the other's.

private:
  void ReadOn();
  void Refuse(int aStatus); ///< For bytes that are no proper request.
  void AskForBody();
  void Retire();

  http_server& mServer;
  std::unique_ptr<tcp_stream> mStream;
  http_reader mReader;
  std::string mUnread;        ///< Of requests behind the one in work.
  exchange_ptr mExchange;     ///< In work.
  model::instant mSince;      ///< Of the present state: idle, head, lingering.
  model::duration mRoundTrip; ///< To the caller; 0: not known.
  bool mFirst = true;         ///< No request has come yet.
  bool mHeadBegun = false;
  bool mContinued = false; ///< The body was asked for.
  bool mPaused = false;
  bool mLingering = false;
  bool mRetired = false;
};

} // namespace monsooncroft::gateway

#endif
