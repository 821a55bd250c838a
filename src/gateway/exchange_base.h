/**
 * @file exchange_base.h
 * One request of a caller, from its last byte to the answer.
 */
#ifndef MONSOONCROFT_GATEWAY_EXCHANGE_BASE_H
#define MONSOONCROFT_GATEWAY_EXCHANGE_BASE_H

#include "gateway/http_message_type.h"
#include "gateway/http_response_type.h"
#include "model/time_type.h"

#include <functional>
#include <memory>

namespace monsooncroft::gateway {

class caller_connection;

/** Shared by the connection and by whoever works on the answer. */
class exchange
{
public:
  exchange(caller_connection& aConnection,
           http_message aRequest,
           model::instant aReceived,
           model::duration aCallersWay)
    : mConnection(&aConnection)
    , mRequest(std::move(aRequest))
    , mReceivedAt(aReceived)
    , mCallerNetworkTime(aCallersWay)
  {
  }

  const http_message& Request() const { return mRequest; }
  http_message& Request() { return mRequest; }
  model::instant ReceivedAt() const { return mReceivedAt; }
  /** What the caller waits besides: for its connection if this is its first
   * request, for the request to come and the answer to go; 0 if not known. */
  model::duration CallerNetworkTime() const { return mCallerNetworkTime; }
  /** Sends the answer; nothing happens if the caller has left. */
  void Respond(const http_response& aResponse);
  bool CallerLeft() const { return mConnection == nullptr; }
  /** Called once if the caller closes its connection before the answer. */
  void OnCallerLeft(std::function<void()> aHandler)
  {
    mOnCallerLeft = std::move(aHandler);
  }

private:
  friend class caller_connection;

  void Detach(); ///< The connection is gone.

  caller_connection* mConnection;
  http_message mRequest;
  model::instant mReceivedAt;
  model::duration mCallerNetworkTime;
  std::function<void()> mOnCallerLeft;
};

using exchange_ptr = std::shared_ptr<exchange>;

/** Who answers requests. */
class request_handler
{
public:
  request_handler() = default;
  virtual ~request_handler() = default;
  request_handler(const request_handler&) = delete;
  request_handler& operator=(const request_handler&) = delete;
  request_handler(request_handler&&) = delete;
  request_handler& operator=(request_handler&&) = delete;

  virtual void OnRequest(const exchange_ptr& aExchange) = 0;
};

} // namespace monsooncroft::gateway

#endif
