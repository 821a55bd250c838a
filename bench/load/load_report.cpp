/**
 * @file load_report.cpp
 * Sums of a run, and the report.
 */
#include "bench/load/load_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace monsooncroft::bench {

namespace {

using nlohmann::json;

constexpr std::size_t kMostRefusedIds = 2000; ///< Named for each flow.
constexpr std::array kPlotted = { 0.0,   0.1,   0.25,   0.5,    0.75,
                                  0.9,   0.95,  0.98,   0.99,   0.995,
                                  0.998, 0.999, 0.9995, 0.9999, 1.0 };

json
Quantiles(const latency_histogram& aHistogram)
{
  json out = { { "count", aHistogram.Count() },
               { "p50_ms", aHistogram.Quantile(0.5) },
               { "p99_ms", aHistogram.Quantile(0.99) },
               { "p99_9_ms", aHistogram.Quantile(0.999) },
               { "max_ms", aHistogram.Max() } };
  out["curve"] = json::array();
  for (const double fraction : kPlotted) {
    out["curve"].push_back({ fraction, aHistogram.Quantile(fraction) });
  }
  return out;
}

} // namespace

load_report::load_report(const load_plan& aPlan)
  : mPlan(aPlan)
  , mTallies(aPlan.mFlows.size())
{
}

void
load_report::Add(const query_end& aEnd)
{
  if (aEnd.mDue < mPlan.mWarmUp) {
    return;
  }
  const std::lock_guard lock(mMutex);
  tally& sums = mTallies[aEnd.mFlow];
  ++sums.mStatuses[aEnd.mStatus];
  sums.mAll.Add(aEnd.mLatencyMs);
  if (!aEnd.mReason.empty()) {
    ++sums.mReasons[aEnd.mStatus + ": " + aEnd.mReason];
  }
  if (aEnd.mStatus == "not_run") {
    sums.mRefused.Add(aEnd.mServiceMs);
    if (sums.mRefusedIds.size() < kMostRefusedIds) {
      sums.mRefusedIds.push_back(aEnd.mRequest);
    }
    return;
  }
  sums.mCoverage += aEnd.mCoverage;
  if (aEnd.mStatus != "complete" && aEnd.mStatus != "partial") {
    return;
  }
  sums.mAnswered.Add(aEnd.mLatencyMs);
  const auto second = static_cast<std::size_t>(
    std::chrono::duration_cast<std::chrono::seconds>(aEnd.mDue).count());
  sums.mGoodEachSecond.resize(
    std::max(sums.mGoodEachSecond.size(), second + 1));
  ++sums.mGoodEachSecond[second];
}

void
load_report::AddRepeat()
{
  const std::lock_guard lock(mMutex);
  ++mRepeats;
}

void
load_report::AddLateness(double aMilliseconds)
{
  const std::lock_guard lock(mMutex);
  mLateness.Add(aMilliseconds);
}

std::string
load_report::ToJson() const
{
  const std::lock_guard lock(mMutex);
  json out = { { "generator_lateness", Quantiles(mLateness) },
               { "repeats", mRepeats },
               { "flows", json::array() } };
  for (std::size_t i = 0; i < mTallies.size(); ++i) {
    const tally& sums = mTallies[i];
    const auto ran =
      static_cast<double>(sums.mAll.Count() - sums.mRefused.Count());
    out["flows"].push_back({ { "name", mPlan.mFlows[i].mName },
                             { "kind", mPlan.mFlows[i].mKind },
                             { "tenant", mPlan.mFlows[i].mTenant },
                             { "rate_per_s", mPlan.mFlows[i].mRatePerSecond },
                             { "all", Quantiles(sums.mAll) },
                             { "answered", Quantiles(sums.mAnswered) },
                             { "refused", Quantiles(sums.mRefused) },
                             { "coverage", ran > 0 ? sums.mCoverage / ran : 0 },
                             { "statuses", sums.mStatuses },
                             { "reasons", sums.mReasons },
                             { "refused_ids", sums.mRefusedIds },
                             { "good_each_second", sums.mGoodEachSecond } });
  }
  return out.dump();
}

} // namespace monsooncroft::bench
