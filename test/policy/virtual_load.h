/**
 * @file virtual_load.h
 * Open-loop load on the policy classes, in virtual time.
 *
 * Queries arrive as a Poisson process and fan out to every shard. Each leaf is
 * an admission queue in front of slots with exponential service times, a
 * fraction of them many times longer. There is no network: the figures compare
 * policies and predict nothing else.
 */
#ifndef MONSOONCROFT_TEST_POLICY_VIRTUAL_LOAD_H
#define MONSOONCROFT_TEST_POLICY_VIRTUAL_LOAD_H

#include "model/contract_type.h"
#include "policy/admission_type.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace monsooncroft::policy {

/** When a hedge is sent to a second candidate. */
enum class hedge_mode
{
  None,
  Fixed,    ///< After 30 ms.
  Quantile, ///< After the tracked 95th percentile.
};

/** One workspace's fraction of the arrivals. */
struct workspace_load
{
  std::string mName;
  double mArrivalFraction = 1; ///< Fraction of all arrivals.
  double mWeight = 1;          ///< Declared share.
};

/** Settings of one simulation run. */
struct load_settings
{
  int mShards = 1;
  int mReplicas = 1;
  int mSlots = 2;
  double mLoad = 0.7; ///< Arriving work divided by capacity.
  /** Fraction of urgent arrivals; the rest is browsing. */
  double mUrgentFraction = 0.3;
  std::vector<workspace_load> mWorkspaces{ { "t", 1, 1 } };
  /** Mean service time of a normal request. */
  model::duration mServiceTime{ 10'000 };
  double mSlowFraction = 0; ///< Fraction of requests that are slow.
  double mSlowFactor = 10;
  /** From this time on, leaf 0 runs at most mCrowdedSlots requests at full
   * speed; beyond that, each service time grows with the square of the excess.
   * If mCrowdedSlots is 0, service times don't depend on concurrency. */
  model::duration mCrowdedFrom{ 0 };
  int mCrowdedSlots = 0;
  /** Service time factor of leaf 0 from mCrowdedFrom on, crowded or not. */
  double mSlowdown = 1;
  std::array<model::duration, 2> mDeadlines{ std::chrono::milliseconds(160),
                                             std::chrono::milliseconds(1000) };
  std::array<double, 2> mLeastCoverage{ 1, 1 }; ///< Minimum of a good answer.
  hedge_mode mHedge = hedge_mode::None;
  double mRetryBudgetFraction = 0.05;
  admission_settings mAdmission;
  model::duration mDuration = std::chrono::seconds(60);
  std::uint64_t mSeed = 1;
};

/** Answers of one urgency class or workspace. */
struct load_count
{
  int mQueries = 0;
  int mGoodAnswers = 0;    ///< In time and with enough coverage.
  double mCoverageSum = 0; ///< Sum of the fractions answered.
  /** Latencies of good answers, sorted. */
  std::vector<model::duration> mLatencies;

  double GoodFraction() const
  {
    return mQueries == 0 ? 1 : 1.0 * mGoodAnswers / mQueries;
  }
  double Coverage() const
  {
    return mQueries == 0 ? 1 : mCoverageSum / mQueries;
  }
  double LatencyMillis(double aQuantile) const; ///< A quantile of mLatencies.
};

/** Measurements of one run. */
struct load_result
{
  std::array<load_count, 2> mClasses; ///< Urgent, browsing.
  std::map<std::string, load_count> mWorkspaces;
  double mGoodput = 0;           ///< Good answers per second.
  double mExtraAttemptRatio = 0; ///< Extra attempts divided by first attempts.
  /** Fraction of slot time spent on unused results. */
  double mWastedFraction = 0;
};

/** Runs a simulation; equal settings give equal results. */
load_result
RunLoad(const load_settings& aSettings);

/** Formats a result as one line of a table. */
std::string
FormatRow(const std::string& aName, const load_result& aResult);

} // namespace monsooncroft::policy

#endif
