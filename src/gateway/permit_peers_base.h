/**
 * @file permit_peers_base.h
 * Interface to the instances that issue permits.
 */
#ifndef MONSOONCROFT_GATEWAY_PERMIT_PEERS_BASE_H
#define MONSOONCROFT_GATEWAY_PERMIT_PEERS_BASE_H

#include "model/endpoint_type.h"
#include "model/time_type.h"
#include "serving/leaf_limit_type.h"
#include "serving/permit_type.h"

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::gateway {

/** Finds the issuer of a group's permits and exchanges messages with it. */
class permit_peers
{
public:
  permit_peers() = default;
  virtual ~permit_peers() = default;
  permit_peers(const permit_peers&) = delete;
  permit_peers& operator=(const permit_peers&) = delete;
  permit_peers(permit_peers&&) = delete;
  permit_peers& operator=(permit_peers&&) = delete;

  /** Peer that issues the permits of a group of services; nothing if this
   * instance does. */
  virtual std::optional<model::endpoint> PermitIssuer(
    const std::string& aServiceGroup,
    model::instant aNow) const = 0;
  virtual void SendPermitRequest(
    const model::endpoint& aTo,
    const serving::permit_request& aRequest,
    const std::vector<serving::leaf_limit_report>& aLimits) = 0;
  virtual void SendPermitReply(const model::endpoint& aTo,
                               const serving::permit_reply& aReply) = 0;
  /** Sends news of limits to all instances. */
  virtual void SendLeafLimits(
    const std::vector<serving::leaf_limit_report>& aLimits,
    model::instant aNow) = 0;
  /** Instances that may be sending to leaves, including this one and those that
   * became unreachable. */
  virtual std::size_t SendingInstances(model::instant aNow) const = 0;
  /** Reachable fraction of them. */
  virtual double ReachableShare(model::instant aNow) const = 0;
};

} // namespace monsooncroft::gateway

#endif
