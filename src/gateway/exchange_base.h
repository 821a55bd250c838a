/**
 * @file exchange_base.h
 * One caller request, from its last byte to the answer.
 */
#ifndef MONSOONCROFT_GATEWAY_EXCHANGE_BASE_H
#define MONSOONCROFT_GATEWAY_EXCHANGE_BASE_H

#include "gateway/http_message_type.h"
#include "gateway/http_response_type.h"
#include "model/time_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class caller_connection;

/** Which requests a stopping instance answers now. */
enum class stop_answers : std::uint8_t
{
  Unsent, ///< Those that have not been sent to a leaf or another instance.
  All,    ///< None of them is waited for any longer.
};

constexpr const char* kReasonStopping = "the instance stops";

/** Shared by the caller's connection and the code that produces the answer. */
class exchange
{
public:
  exchange(caller_connection& aConnection,
           http_message aRequest,
           model::instant aReceivedAt,
           model::duration aCallerNetworkTime)
    : mConnection(&aConnection)
    , mRequest(std::move(aRequest))
    , mReceivedAt(aReceivedAt)
    , mCallerNetworkTime(aCallerNetworkTime)
  {
  }

  const http_message& Request() const { return mRequest; }
  http_message& Request() { return mRequest; }
  model::instant ReceivedAt() const { return mReceivedAt; }
  /** Network time that the caller sees in addition: one round trip for request
   * and answer, and another one to connect if this is the first request of its
   * connection; 0 if not known. */
  model::duration CallerNetworkTime() const { return mCallerNetworkTime; }
  /** Sends the answer; does nothing if the caller has disconnected. */
  void Respond(const http_response& aResponse);
  /** Sends an interim answer: the request is being handled. */
  void SendProcessing(const std::vector<http_field>& aFields = {});
  bool CallerLeft() const { return mConnection == nullptr; }
  /** Sets a handler that is called once if the caller closes its connection
   * before the answer. */
  void OnCallerLeft(std::function<void()> aHandler)
  {
    mOnCallerLeft = std::move(aHandler);
  }

  /** Sets a handler that answers the request if the instance stops before its
   * work is done. A request without one has not been passed on. */
  void OnStop(std::function<void(stop_answers)> aHandler)
  {
    mOnStop = std::move(aHandler);
  }
  /** Sets a handler of the messages that supplement this request. */
  void OnSupplement(std::function<void(const http_message&)> aHandler)
  {
    mOnSupplement = std::move(aHandler);
  }
  /** Passes a message on that was sent behind the request. */
  void Supplement(const http_message& aMessage);

private:
  friend class caller_connection;

  void Detach();  ///< The connection has closed.
  void EndWait(); ///< Calls the handler of a caller that has left.

  caller_connection* mConnection;
  http_message mRequest;
  model::instant mReceivedAt;
  model::duration mCallerNetworkTime;
  std::function<void()> mOnCallerLeft;
  std::function<void(stop_answers)> mOnStop;
  std::function<void(const http_message&)> mOnSupplement;
};

using exchange_ptr = std::shared_ptr<exchange>;

/** Answers callers' requests. */
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
  /** Whether clients send messages behind a request that supplement it. These
   * are read at once; other messages wait until the request is answered. */
  virtual bool HasSupplements() const { return false; }
  /** Whether a message supplements the request before it. */
  virtual bool IsSupplement(const http_message& /*aMessage*/) const
  {
    return false;
  }
  /** Refuses a request that has not been passed on: the instance stops. */
  virtual void RefuseAtStop(const exchange_ptr& /*aExchange*/) {}
};

} // namespace monsooncroft::gateway

#endif
