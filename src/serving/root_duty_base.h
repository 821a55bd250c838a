/**
 * @file root_duty_base.h
 * Whether an instance hands queries over many shards to roots, or is one.
 */
#ifndef MONSOONCROFT_SERVING_ROOT_DUTY_BASE_H
#define MONSOONCROFT_SERVING_ROOT_DUTY_BASE_H

#include "serving/fleet_size_type.h"
#include "serving/root_selection_func.h"

#include <optional>

namespace monsooncroft::serving {

class fleet_membership;
class routing_config;

/** The part that an instance takes in queries over many shards. */
struct root_role
{
  /** Instances hand these queries to roots. */
  bool mUsesRoots = false;
  /** This instance executes the queries of others. */
  bool mAccepts = false;
  /** Instances that share the connections to leaves of shards, if this instance
   * keeps some open; nothing if it keeps none. */
  std::optional<fleet_size> mShardInstances;
  /** Other instances that execute queries of this one. */
  std::vector<root_address> mRoots;

  bool operator==(const root_role&) const = default;
};

/**
 * Decides by the size of the fleet and the connection limits of the leaves. In
 * a small fleet each instance keeps connections to all leaves and executes its
 * queries itself. In a larger one a few roots do; a root accepts queries once
 * its connections are open. A root that is no longer chosen, because members
 * were lost or have come back, remains one for a while.
 */
class root_duty
{
public:
  root_duty(const root_settings& aSettings, model::instant aStartedAt)
    : mSettings(aSettings)
    , mStartedAt(aStartedAt)
  {
  }

  /** What the decision depends on besides the membership. */
  struct inputs
  {
    const routing_config* mConfig = nullptr; ///< Null before the first one.
    /** Data centres that have leaves of shards. */
    std::set<std::string> mLeafDataCentres;
    /** Fraction of the shards that this instance has connections to. */
    double mReachableShards = 0;
    std::uint16_t mRelayPort = 0; ///< Of this instance; 0: it has none.
    bool mIsStopping = false;
  };

  root_role Update(const fleet_membership& aFleet,
                   const inputs& aInputs,
                   model::instant aNow);

private:
  bool IsChosen(const fleet_membership& aFleet,
                const inputs& aInputs,
                const std::vector<fleet_member>& aMembers,
                fleet_size& aRoots,
                model::instant aNow);

  root_settings mSettings;
  model::instant mStartedAt;
  std::optional<model::instant> mLastChosen;
  bool mAccepted = false;
};

} // namespace monsooncroft::serving

#endif
