/**
 * @file instance_client_base.h
 * Calls to entry instances, as any caller may make them.
 */
#ifndef MONSOONCROFT_CTL_INSTANCE_CLIENT_BASE_H
#define MONSOONCROFT_CTL_INSTANCE_CLIENT_BASE_H

#include "model/endpoint_type.h"
#include "net/http_type.h"

#include <chrono>
#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** Blocking calls; nothing is sent twice. */
class instance_client
{
public:
  virtual ~instance_client() = default;

  /**
   * Sends one request to each of many instances at once.
   * @param aInstances Caller addresses.
   * @param aRequest The request.
   * @param aTimeout For each.
   * @return The ends, in the order of the addresses.
   */
  virtual std::vector<net::exchange_result> CallAll(
    const std::vector<model::endpoint>& aInstances,
    const net::http_request& aRequest,
    std::chrono::milliseconds aTimeout) = 0;
};

} // namespace monsooncroft::ctl

#endif
