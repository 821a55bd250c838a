/**
 * @file http_connection_base.h
 * One outgoing connection; one write is one send, nothing is ever sent again.
 */
#ifndef MONSOONCROFT_NET_HTTP_CONNECTION_BASE_H
#define MONSOONCROFT_NET_HTTP_CONNECTION_BASE_H

#include "model/time_type.h"
#include "net/http_type.h"

#include <functional>

namespace monsooncroft::net {

/** A keep-alive connection that carries one exchange at a time. Thread safe. */
class http_connection
{
public:
  using callback = std::function<void(const exchange_result&)>;

  virtual ~http_connection() = default;

  /**
   * Sends one request, connecting first on the first use.
   * @param aRequest The request.
   * @param aTimeout Time for everything, connecting included.
   * @param aDone Called once, on an I/O thread.
   * @pre No other exchange is under way.
   */
  virtual void Exchange(const http_request& aRequest,
                        model::duration aTimeout,
                        callback aDone) = 0;

  virtual void
  Close() = 0; ///< Ends it; an exchange under way ends as Cancelled.
  virtual bool IsOpen()
    const = 0; ///< False before the first use and once it has ended.
};

} // namespace monsooncroft::net

#endif
