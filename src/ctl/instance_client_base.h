/**
 * @file instance_client_base.h
 * Interface for HTTP calls to the caller address of entry instances.
 */
#ifndef MONSOONCROFT_CTL_INSTANCE_CLIENT_BASE_H
#define MONSOONCROFT_CTL_INSTANCE_CLIENT_BASE_H

#include "model/endpoint_type.h"
#include "net/http_type.h"

#include <chrono>
#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** Makes blocking calls; a request is never retried. */
class instance_client
{
public:
  virtual ~instance_client() = default;

  /**
   * Sends the same request to several instances concurrently.
   * @param aInstances Caller addresses of the instances.
   * @param aRequest The request.
   * @param aTimeout Limit for each call.
   * @return The results, in the order of the addresses.
   */
  virtual std::vector<net::exchange_result> CallAll(
    const std::vector<model::endpoint>& aInstances,
    const net::http_request& aRequest,
    std::chrono::milliseconds aTimeout) = 0;
};

} // namespace monsooncroft::ctl

#endif
