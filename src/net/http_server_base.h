/**
 * @file http_server_base.h
 * A listener that hands whole requests to a handler on a pool of workers.
 */
#ifndef MONSOONCROFT_NET_HTTP_SERVER_BASE_H
#define MONSOONCROFT_NET_HTTP_SERVER_BASE_H

#include "model/endpoint_type.h"
#include "net/http_type.h"

#include <chrono>
#include <memory>

namespace monsooncroft::net {

/** Answers requests; called on many workers at once. */
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
  unsigned mThreads = 16; ///< Workers, each answering one request at a time.
  std::size_t mMaxBodyBytes = 1024 * 1024; ///< Longer bodies get 413.
  std::chrono::milliseconds mReadTimeout{
    5000
  }; ///< Longest wait for the next bytes of a request.
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

  virtual void Stop() = 0; ///< Ends the listener and its workers.
};

} // namespace monsooncroft::net

#endif
