/**
 * @file http_server_base.h
 * An HTTP listener that passes complete requests to a handler on a pool of
 * worker threads.
 */
#ifndef MONSOONCROFT_NET_HTTP_SERVER_BASE_H
#define MONSOONCROFT_NET_HTTP_SERVER_BASE_H

#include "model/endpoint_type.h"
#include "net/http_type.h"

#include <chrono>
#include <memory>

namespace monsooncroft::net {

/** Handles requests; called on several worker threads concurrently. */
class http_handler
{
public:
  virtual ~http_handler() = default;
  virtual http_response Handle(const http_request& aRequest) = 0;
};

/** Limits of a listener. */
struct http_server_options
{
  model::endpoint mListen;
  unsigned mThreads = 16; ///< Largest number of worker threads; each handles
                          ///< one request at a time.
  std::size_t mMaxBodyBytes =
    1024 * 1024; ///< Requests with longer bodies get status 413.
  std::chrono::milliseconds mReadTimeout{
    5000
  }; ///< Longest wait for further bytes of a request.
  std::chrono::milliseconds mKeepAliveTimeout{
    30000
  }; ///< Longest idle time of a connection.
};

/** A running listener. */
class http_server
{
public:
  virtual ~http_server() = default;

  /**
   * Starts listening.
   * @param aOptions Address and limits.
   * @param aHandler Outlives the server.
   * @return The running server.
   * @throws net_error if the address cannot be bound.
   */
  static std::unique_ptr<http_server> Start(const http_server_options& aOptions,
                                            http_handler& aHandler);

  virtual void Stop() = 0; ///< Stops the listener and its worker threads.
};

} // namespace monsooncroft::net

#endif
