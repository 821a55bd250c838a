/**
 * @file quota_ledger_base.h
 * Admissions of the workspaces of one quota group, over all instances.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_LEDGER_BASE_H
#define MONSOONCROFT_SERVING_QUOTA_LEDGER_BASE_H

#include "model/time_type.h"
#include "serving/quota_observer_base.h"
#include "serving/quota_settings_type.h"
#include "serving/quota_type.h"
#include "serving/token_bucket_base.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace monsooncroft::serving {

/** On what terms a ledger decides. */
struct quota_terms
{
  double mShare = 1; ///< Fraction of the instances that are in reach.
  /** This instance decides in place of the issuer, which may be issuing on the
   * other side of a partition. */
  bool mMayOverlap = false;
};

/**
 * A token bucket for each workspace of a group. Answers dozens of instances
 * that each see less than one request of a workspace per second: the sum of
 * their admissions is kept in one place. Admissions are charged when they are
 * reported, after the fact; the bucket can become negative, and the debt is
 * repaid before anything more is granted. Reports may be lost, duplicated and
 * reordered: they carry totals.
 */
class quota_ledger
{
public:
  using limits = std::unordered_map<workspace_hash, quota_limit>;

  explicit quota_ledger(const quota_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /** Replaces the limits of the configuration. A workspace whose burst was
   * raised has the difference at once. */
  void SetLimits(limits aLimits);
  /**
   * This instance begins to keep or to issue the group's quota. What others
   * issued just before may be unknown here, so the buckets have at most the
   * margin's start.
   * @param aIsNew The reports of the time before went to others.
   * @param aShare Fraction of the instances that are in reach.
   */
  void Begin(bool aIsNew, double aShare, model::instant aNow);
  /**
   * Charges what an instance reports and decides on what it asks.
   * @param aSender Identifies the process that reports.
   */
  quota_decision Decide(std::uint64_t aSender,
                        const quota_item& aItem,
                        const quota_terms& aTerms,
                        model::instant aNow);
  /** Updates which workspaces are restricted.
   * @return The changes. */
  std::vector<quota_change> Update(double aShare, model::instant aNow);
  std::vector<workspace_hash> Restricted() const;
  /** @return Nothing if no instance has reported on it. */
  std::optional<double> Level(workspace_hash aWorkspace) const;

private:
  /** What is known of one instance. */
  struct sender_state
  {
    std::uint64_t mTotal = 0;
    /** Grants that its total does not include yet. */
    std::uint64_t mAhead = 0;
    model::instant mGrantedAt;
    model::instant mLastReport;
  };
  struct workspace_state
  {
    explicit workspace_state(double aTokens, model::instant aNow)
      : mBucket(aTokens, aNow)
      , mOverlap(0, aNow)
      , mChangedAt(aNow)
    {
    }

    token_bucket mBucket;
    /** For the time in which another instance may issue as well. */
    token_bucket mOverlap;
    quota_limit mLimit;
    double mFullCapacity = 0; ///< Before the fraction in reach.
    double mCapacity = 0;
    double mRatePerSecond = 0; ///< Of this instance, after the fraction.
    /** By the own configuration; limits of senders may differ between them. */
    bool mIsConfigured = false;
    bool mRestricted = false;
    model::instant mChangedAt;  ///< Of mRestricted.
    model::instant mLastReturn; ///< Return time that was told last.
    std::unordered_map<std::uint64_t, sender_state> mSenders;
  };

  /** Requests that a part of the fleet may admit at once. */
  double Tokens(const quota_limit& aLimit, double aShare) const;
  /** Tokens at the beginning of the duty. */
  double Start(const quota_limit& aLimit) const;
  workspace_state& Find(const quota_item& aItem, model::instant aNow);
  void Advance(workspace_state& aState,
               const quota_limit& aLimit,
               double aShare,
               model::instant aNow) const;
  /** @return Admissions that were not charged before. */
  static std::uint32_t NewAdmissions(sender_state* aSender,
                                     bool aIsKnown,
                                     const quota_item& aItem,
                                     model::instant aNow);
  /** Tells callers when to return.
   * @param aAvailable When the quota allows the next request. */
  static void SetRetry(workspace_state& aState,
                       quota_decision& aDecision,
                       std::uint32_t aRefused,
                       model::instant aAvailable,
                       model::instant aNow);
  const quota_limit& LimitOf(workspace_hash aWorkspace,
                             const quota_limit& aOther) const;

  quota_settings mSettings;
  limits mLimits;
  model::instant mBeganAt;
  double mBeganShare = 1;
  std::unordered_map<workspace_hash, workspace_state> mWorkspaces;
};

} // namespace monsooncroft::serving

#endif
