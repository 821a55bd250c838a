/**
 * @file http_connection_base.h
 * An outgoing HTTP connection that never resends a request by itself.
 */
#ifndef MONSOONCROFT_NET_HTTP_CONNECTION_BASE_H
#define MONSOONCROFT_NET_HTTP_CONNECTION_BASE_H

#include "model/time_type.h"
#include "net/http_type.h"

#include <functional>

namespace monsooncroft::net {

/** A keep-alive HTTP connection that carries one exchange (a request and its
 * response) at a time. Thread safe. */
class http_connection
{
public:
  using callback = std::function<void(const exchange_result&)>;

  virtual ~http_connection() = default;

  /**
   * Sends one request. The first exchange also opens the connection.
   * @param aRequest The request.
   * @param aTimeout Bounds the whole exchange, connecting included.
   * @param aDone Called once with the result, on an I/O thread.
   * @pre No other exchange is in progress.
   */
  virtual void Exchange(const http_request& aRequest,
                        model::duration aTimeout,
                        callback aDone) = 0;

  virtual void Close() = 0; ///< Closes the connection; an exchange in progress
                            ///< ends with exchange_error::Cancelled.
  virtual bool IsOpen() const = 0; ///< False before the first exchange and
                                   ///< after the connection has closed.
};

} // namespace monsooncroft::net

#endif
