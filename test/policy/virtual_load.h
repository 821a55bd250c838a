/**
 * @file virtual_load.h
 * Open-loop load on the policy's own code, in virtual time.
 *
 * Poisson arrivals ask every shard; each leaf is an admission queue in front
 * of slots that take exponential times, some of them many times longer. There
 * is no network: a figure compares policies and predicts nothing else.
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

/** When a second candidate is asked. */
enum class hedge_mode
{
  None,
  Fixed,    ///< After 30 ms.
  Quantile, ///< After the tracked 95th percentile.
};

/** One tenant's part of the arrivals. */
struct workspace_load
{
  std::string mName;
  double mArrivalFraction = 1; ///< Of all arrivals.
  double mWeight = 1;          ///< Declared share.
};

/** One run. */
struct load_settings
{
  int mShards = 1;
  int mReplicas = 1;
  int mSlots = 2;
  double mLoad = 0.7;           ///< Arriving work over capacity.
  double mUrgentFraction = 0.3; ///< Part of arrivals; the rest is browsing.
  std::vector<workspace_load> mWorkspaces{ { "t", 1, 1 } };
  model::duration mServiceTime{ 10'000 }; ///< Mean of a normal request.
  double mSlowFraction = 0;               ///< Part of requests that are slow.
  double mSlowFactor = 10;
  /** From this time on, leaf 0 runs only so many at full pace: beyond, the
   * time of each grows by the square of the excess. 0: never. */
  model::duration mCrowdedFrom{ 0 };
  int mCrowdedSlots = 0;
  double mSlowdown = 1; ///< Of leaf 0 from then on, crowded or not.
  std::array<model::duration, 2> mDeadlines{ std::chrono::milliseconds(160),
                                             std::chrono::milliseconds(1000) };
  std::array<double, 2> mLeastCoverage{ 1, 1 }; ///< Of a good answer.
  hedge_mode mHedge = hedge_mode::None;
  double mRetryBudgetFraction = 0.05;
  admission_settings mAdmission;
  model::duration mDuration = std::chrono::seconds(60);
  std::uint64_t mSeed = 1;
};

/** Answers of one class or tenant. */
struct load_count
{
  int mQueries = 0;
  int mGoodAnswers = 0;                    ///< In time, with enough coverage.
  double mCoverageSum = 0;                 ///< Sum of the fractions answered.
  std::vector<model::duration> mLatencies; ///< Of good answers, sorted.

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

/** What came of one run. */
struct load_result
{
  std::array<load_count, 2> mClasses; ///< Urgent, browsing.
  std::map<std::string, load_count> mWorkspaces;
  double mGoodput = 0;           ///< Good answers a second.
  double mExtraAttemptRatio = 0; ///< Extra attempts over first ones.
  double mWastedFraction =
    0; ///< Slot time spent on results that came to nothing.
};

/** Runs it; the same settings give the same result. */
load_result
RunLoad(const load_settings& aSettings);

/** One line of a table. */
std::string
FormatRow(const std::string& aName, const load_result& aResult);

} // namespace monsooncroft::policy

#endif
