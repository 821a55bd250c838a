/**
 * @file http_listener.h
 * An asynchronous HTTP listener that can misbehave on demand.
 */
#ifndef MONSOONCROFT_STANDIN_HTTP_LISTENER_H
#define MONSOONCROFT_STANDIN_HTTP_LISTENER_H

#include "model/endpoint_type.h"
#include "model/time_type.h"
#include "net/http_type.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace monsooncroft::standin {

class serial_queue;

/** What becomes of an answer. */
enum class delivery
{
  Send,      ///< Sent once.
  SendTwice, ///< Sent twice in a row, as a faulty server might.
  Close,     ///< Not sent; the connection is closed.
};

/** An answer and how it is delivered. */
struct http_reply
{
  net::http_response mResponse;
  delivery mDelivery = delivery::Send;
};

/** Takes the answer to one request, later calls do nothing. Thread safe. */
using reply_callback = std::function<void(const http_reply&)>;

/** Answers requests; called on the listener's queue. */
class request_handler
{
public:
  virtual ~request_handler() = default;

  /**
   * Answers a request, at once or later.
   * @param aRequest The request; its target keeps the query string.
   * @param aReply Takes the answer; may be dropped, the client then waits.
   */
  virtual void Handle(const net::http_request& aRequest,
                      reply_callback aReply) = 0;
};

/** Address and limits of a listener. */
struct listener_options
{
  model::endpoint mAddress;
  std::size_t mMaxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  int mConnectionLimit = 0; ///< Connections beyond it are reset; 0: no limit.
  model::duration mConnectDelay{}; ///< From accept to the first byte read.
};

/** What a listener has seen. */
struct listener_counters
{
  int mOpen = 0;    ///< Connections open now.
  int mMaxOpen = 0; ///< The most ever open at once.
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0; ///< Reset for being over the limit.
};

/** A listener; every call on its queue, or before the loop runs. */
class http_listener
{
public:
  virtual ~http_listener() = default;

  /**
   * Makes a listener that is not open yet.
   * @param aQueue Runs its handlers.
   * @param aOptions Address and limits.
   * @param aHandler Outlives the listener.
   */
  static std::unique_ptr<http_listener> Create(
    const std::shared_ptr<serial_queue>& aQueue,
    const listener_options& aOptions,
    request_handler& aHandler);

  /** Starts listening. @throws net_error if the address cannot be bound. */
  virtual void Open() = 0;
  virtual void StopListening() = 0; ///< New connections are refused.
  virtual void ResetAll() = 0;      ///< Resets every open connection.
  virtual void SilenceAll() = 0;    ///< Open connections never answer any more.
  virtual listener_counters Counters() const = 0; ///< What was seen so far.
};

} // namespace monsooncroft::standin

#endif
