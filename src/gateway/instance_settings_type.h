/**
 * @file instance_settings_type.h
 * Settings of an entry instance of the asynchronous data path.
 */
#ifndef MONSOONCROFT_GATEWAY_INSTANCE_SETTINGS_TYPE_H
#define MONSOONCROFT_GATEWAY_INSTANCE_SETTINGS_TYPE_H

#include "gateway/control_settings_type.h"
#include "gateway/header_names_type.h"
#include "gateway/query_settings_type.h"
#include "model/endpoint_type.h"
#include "serving/quota_settings_type.h"
#include "serving/retry_budget_base.h"

#include <string>
#include <vector>

namespace monsooncroft::gateway {

/** Tolerance of cold leaves. */
struct cold_settings
{
  double mOverage = 1; ///< Factor of the rate of a cold leaf.
  double mSlack = 0;   ///< Requests per second that are tolerated besides.

  bool operator==(const cold_settings&) const = default;
};

/** Settings of one instance. */
struct instance_settings
{
  std::string mName;
  std::string mDataCentre;
  model::endpoint mCallerAddress; ///< Listening address for callers.
  /** Listening address for the balancer's readiness checks and for metrics. */
  model::endpoint mReadinessAddress;
  /** UDP and TCP address for other instances. */
  model::endpoint mPeerAddress;
  /** TCP address for queries of other instances; without a port, none are
   * accepted. */
  model::endpoint mRelayAddress;
  /** Processor cores, for the choice of roots; 0 if unknown: this instance is
   * no root. */
  double mCapacity = 0;
  std::vector<model::endpoint> mSeeds; ///< Addresses of peers to contact first.
  model::endpoint mStoreAddress;
  std::string mReadinessPath;
  header_names mHeaderNames;
  serving::retry_budget_settings mRetryBudget;
  query_settings mQuery;
  control_settings mControl;
  std::size_t mMemoryBytes = 0;    ///< Of the machine; 0: unknown.
  std::size_t mMaxDescriptors = 0; ///< Of the process; 0: unknown.
  serving::quota_settings mQuota;
  cold_settings mCold;
  /** Time from the stop signal to the forced end of the process. */
  std::chrono::milliseconds mStopBound{ 6'000 };

  bool operator==(const instance_settings&) const = default;
};

} // namespace monsooncroft::gateway

#endif
