/**
 * @file quota_observer_base.h
 * Interface for changes in an instance's view of quotas.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_OBSERVER_BASE_H
#define MONSOONCROFT_SERVING_QUOTA_OBSERVER_BASE_H

#include "model/time_type.h"
#include "serving/quota_type.h"

namespace monsooncroft::serving {

/** How a request was decided. */
enum class quota_source
{
  Open,     ///< At once; the workspace was open.
  Issuer,   ///< By the issuer or its deputy.
  OwnShare, ///< By this instance's own share.
};

/** Inputs of a change between open and restricted. */
struct quota_change
{
  workspace_hash mWorkspace = 0;
  bool mRestricted = false;
  double mLevel = 0;
  double mCapacity = 0;
  double mRatePerSecond = 0; ///< Of this issuer, after its fraction.
  double mShare = 1;         ///< Fraction of the instances in reach.
  /** Time since the previous change. */
  model::duration mAge{ 0 };
};

/** Gets the changes, for logs and counters. */
class quota_observer
{
public:
  quota_observer() = default;
  virtual ~quota_observer() = default;
  quota_observer(const quota_observer&) = delete;
  quota_observer& operator=(const quota_observer&) = delete;
  quota_observer(quota_observer&&) = delete;
  quota_observer& operator=(quota_observer&&) = delete;

  /** This instance is the issuer, and a workspace became restricted or open. */
  virtual void OnQuotaChange(const quota_change& aChange) = 0;
  /** This instance begins or ends to use its own share of a group.
   * @param aHeardAge Time since the issuer's last notice; negative: never. */
  virtual void OnQuotaSilence(quota_group aGroup,
                              bool aSilent,
                              model::duration aHeardAge) = 0;
  virtual void OnQuotaDecision(quota_source aSource, bool aAdmitted) = 0;
  /** Counts an event that is not a decision. */
  virtual void OnQuotaEvent(const char* aEvent) = 0;
};

} // namespace monsooncroft::serving

#endif
