/**
 * @file http_pool_base.h
 * Pool of keep-alive connections to many endpoints, for calls whose failure the
 * caller tolerates.
 */
#ifndef MONSOONCROFT_NET_HTTP_POOL_BASE_H
#define MONSOONCROFT_NET_HTTP_POOL_BASE_H

#include "model/endpoint_type.h"
#include "net/http_connection_base.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace monsooncroft::net {

class http_connector;

/** Keeps idle connections for each endpoint and reuses them. Thread safe; lock
 * rank: innermost. */
class http_pool
{
public:
  /**
   * @param aConnector Creates the connections. It must outlive the pool and be
   * stopped before the pool is destroyed.
   * @param aIdleLimit Most idle connections kept for each endpoint.
   */
  http_pool(http_connector& aConnector, std::size_t aIdleLimit);

  /** Runs one exchange on a pooled or a new connection; see
   * http_connection::Exchange. */
  void Send(const model::endpoint& aPeer,
            const http_request& aRequest,
            model::duration aTimeout,
            http_connection::callback aDone);

  /** Like Send, but blocks until the exchange ends. Must not be called on an
   * I/O thread: the connector's threads complete the exchange. */
  exchange_result Call(const model::endpoint& aPeer,
                       const http_request& aRequest,
                       model::duration aTimeout);

private:
  using connection_ptr = std::shared_ptr<http_connection>;

  connection_ptr TakeIdle(
    const model::endpoint& aPeer); ///< Takes an idle open connection out of the
                                   ///< pool; null if there is none.
  void SendOn(const connection_ptr& aConnection,
              const model::endpoint& aPeer,
              const http_request& aRequest,
              model::duration aTimeout,
              http_connection::callback aDone);

  struct state;
  http_connector& mConnector;
  std::shared_ptr<state>
    mState; ///< Shared with the callbacks of exchanges that outlive the pool.
};

} // namespace monsooncroft::net

#endif
