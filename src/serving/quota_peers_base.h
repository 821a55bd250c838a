/**
 * @file quota_peers_base.h
 * Interface to the instances that keep the quotas of workspaces.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_PEERS_BASE_H
#define MONSOONCROFT_SERVING_QUOTA_PEERS_BASE_H

#include "model/endpoint_type.h"
#include "serving/quota_type.h"

#include <optional>

namespace monsooncroft::serving {

/** An instance that keeps the ledger of a group. */
struct quota_keeper_address
{
  model::endpoint mPeer;
  bool mIsSelf = false;

  bool operator==(const quota_keeper_address&) const = default;
};

/** The instances that keep the ledger of a group. */
struct quota_keepers
{
  quota_keeper_address mIssuer;
  std::optional<quota_keeper_address> mDeputy; ///< Nothing in a fleet of one.

  bool operator==(const quota_keepers&) const = default;
};

/** Finds the instances that keep the quotas, and sends messages to them. */
class quota_peers
{
public:
  quota_peers() = default;
  virtual ~quota_peers() = default;
  quota_peers(const quota_peers&) = delete;
  quota_peers& operator=(const quota_peers&) = delete;
  quota_peers(quota_peers&&) = delete;
  quota_peers& operator=(quota_peers&&) = delete;

  virtual quota_keepers Keepers(quota_group aGroup) const = 0;
  /** Instances that may be admitting requests, including this one and those
   * that became unreachable. */
  virtual std::size_t KnownInstances() const = 0;
  /** Those of them that are reachable. */
  virtual std::size_t ReachableInstances() const = 0;
  /** Whether the membership has had time to become complete since the start. */
  virtual bool MembershipIsComplete() const = 0;

  virtual void SendQuota(const model::endpoint& aTo,
                         const quota_message& aMessage) = 0;
  virtual void SendQuotaToAll(const quota_message& aMessage) = 0;
  virtual void SendQuotaToDataCentre(const quota_message& aMessage) = 0;
};

} // namespace monsooncroft::serving

#endif
