/**
 * @file http_pool_base.h
 * Keep-alive connections to many endpoints, for calls that may fail freely.
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

/** Pools connections by endpoint. Thread safe; lock rank: innermost. */
class http_pool
{
public:
  /**
   * @param aConnector Makes the connections; outlives the pool, and is stopped
   * before it ends.
   * @param aIdleLimit Idle connections kept for each endpoint.
   */
  http_pool(http_connector& aConnector, std::size_t aIdleLimit);

  /** One exchange on a pooled or a new connection; see
   * http_connection::Exchange. */
  void Send(const model::endpoint& aPeer,
            const http_request& aRequest,
            model::duration aTimeout,
            http_connection::callback aDone);

  /** As Send, but waits for the end. Never call it on an I/O thread. */
  exchange_result Call(const model::endpoint& aPeer,
                       const http_request& aRequest,
                       model::duration aTimeout);

private:
  using connection_ptr = std::shared_ptr<http_connection>;

  connection_ptr TakeIdle(const model::endpoint& aPeer); ///< Null if none.
  void SendOn(const connection_ptr& aConnection,
              const model::endpoint& aPeer,
              const http_request& aRequest,
              model::duration aTimeout,
              http_connection::callback aDone);

  struct state;
  http_connector& mConnector;
  std::shared_ptr<state>
    mState; ///< Shared with exchanges that outlive the pool.
};

} // namespace monsooncroft::net

#endif
