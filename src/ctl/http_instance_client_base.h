/**
 * @file http_instance_client_base.h
 * Calls to entry instances over HTTP.
 */
#ifndef MONSOONCROFT_CTL_HTTP_INSTANCE_CLIENT_BASE_H
#define MONSOONCROFT_CTL_HTTP_INSTANCE_CLIENT_BASE_H

#include "ctl/instance_client_base.h"

namespace monsooncroft::net {
class http_pool;
}

namespace monsooncroft::ctl {

/** Sends requests through a connection pool, with a bounded number of
 * concurrent calls. */
class http_instance_client final : public instance_client
{
public:
  /** @param aPool Connection pool; outlives this object. */
  explicit http_instance_client(net::http_pool& aPool);

  std::vector<net::exchange_result> CallAll(
    const std::vector<model::endpoint>& aInstances,
    const net::http_request& aRequest,
    std::chrono::milliseconds aTimeout) override;

private:
  net::http_pool& mPool; ///< Connection pool.
};

} // namespace monsooncroft::ctl

#endif
