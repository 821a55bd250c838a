/**
 * @file metrics.cpp
 * Metrics kept with Boost.Accumulators and Boost.Histogram.
 */
#include "ops/metrics_base.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace monsooncroft::ops {

namespace {

namespace acc = boost::accumulators;
namespace bh = boost::histogram;

using statistics = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::sum>>;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(log_axis(1, 0.1, 1.0)));
using linear_axis = bh::axis::regular<>;
using linear_histogram = decltype(bh::make_histogram(linear_axis(1, 0.0, 1.0)));

/** Series per labelled counter, bounded as callers may supply label values. */
constexpr std::size_t kMaxLabelledSeries = 256;
constexpr int kLatencyBins = 120;
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 100000;
constexpr int kCoverageBins = 20;
constexpr double kCoverageEnd = 1.0001;
constexpr int kAttemptBins = 32;
constexpr double kMillisecondsPerMicrosecond = 0.001;
constexpr double kExposedQuantiles[] = { 0.5, 0.95, 0.99, 0.999 };

/**
 * Estimates a quantile.
 * @param aHistogram One-dimensional histogram.
 * @param aQuantile Between 0 and 1.
 * @return Upper edge of the bin that holds the quantile; 0 without samples.
 */
template<class Histogram>
double
Quantile(const Histogram& aHistogram, double aQuantile)
{
  double total = 0;
  for (auto&& bin : bh::indexed(aHistogram, bh::coverage::all)) {
    total += *bin;
  }
  double cumulative = 0;
  for (auto&& bin : bh::indexed(aHistogram, bh::coverage::all)) {
    cumulative += *bin;
    if (total > 0 && cumulative >= aQuantile * total) {
      return bin.bin().upper();
    }
  }
  return 0;
}

/** Metrics of one service, kind and workspace. */
struct series
{
  latency_histogram mLatencyMs =
    bh::make_histogram(log_axis(kLatencyBins, kMinLatencyMs, kMaxLatencyMs));
  linear_histogram mCoverage =
    bh::make_histogram(linear_axis(kCoverageBins, 0.0, kCoverageEnd));
  linear_histogram mAttempts =
    bh::make_histogram(linear_axis(kAttemptBins, 0.0, kAttemptBins));
  statistics mLatency;
  statistics mCoverageStatistics;
  statistics mAttemptStatistics;
  statistics mMinAttempts;
  std::map<std::string, long> mStatuses;
};

std::string
Labels(const metric_labels& aLabels)
{
  std::string out;
  for (const auto& [name, value] : aLabels) {
    out += (out.empty() ? "" : ",") + name + "=" +
           nlohmann::json(value).dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return out;
}

std::string
Labels(const metrics_key& aKey)
{
  std::string out = "service=" + nlohmann::json(aKey.mService.Value()).dump();
  out += ",kind=" + nlohmann::json(aKey.mKind.Value()).dump();
  out += ",tenant=" + nlohmann::json(aKey.mWorkspace.Value()).dump();
  return out;
}

void
ExposeSummary(std::ostream& aOut,
              const char* aName,
              const std::string& aLabels,
              const latency_histogram& aHistogram,
              const statistics& aStatistics)
{
  for (const double quantile : kExposedQuantiles) {
    aOut << aName << "{" << aLabels << ",quantile=\"" << quantile << "\"} "
         << Quantile(aHistogram, quantile) << "\n";
  }
  aOut << aName << "_sum{" << aLabels << "} " << acc::sum(aStatistics) << "\n";
  aOut << aName << "_count{" << aLabels << "} " << acc::count(aStatistics)
       << "\n";
}

template<class Histogram>
void
ExposeBuckets(std::ostream& aOut,
              const char* aName,
              const std::string& aLabels,
              const Histogram& aHistogram,
              const statistics& aStatistics)
{
  double cumulative = 0;
  for (auto&& bin : bh::indexed(aHistogram)) {
    cumulative += *bin;
    if (*bin > 0) {
      aOut << aName << "_bucket{" << aLabels << ",le=\"" << bin.bin().upper()
           << "\"} " << cumulative << "\n";
    }
  }
  aOut << aName << "_bucket{" << aLabels << ",le=\"+Inf\"} "
       << acc::count(aStatistics) << "\n";
  aOut << aName << "_sum{" << aLabels << "} " << acc::sum(aStatistics) << "\n";
  aOut << aName << "_count{" << aLabels << "} " << acc::count(aStatistics)
       << "\n";
}

} // namespace

/** All metrics; guarded by mMutex, under which no other lock is taken. */
struct metrics::state
{
  mutable std::mutex mMutex;
  std::map<metrics_key, series> mSeries;
  std::map<std::string, long> mCounters;
  std::map<std::string, std::map<metric_labels, long>> mLabelled;
};

metrics::metrics()
  : mState(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void
metrics::RecordQuery(const metrics_key& aKey,
                     const query_measurements& aMeasurements)
{
  const double latencyMs = static_cast<double>(aMeasurements.mLatency.count()) *
                           kMillisecondsPerMicrosecond;
  const std::lock_guard lock(mState->mMutex);
  series& kept = mState->mSeries[aKey];
  kept.mLatencyMs(latencyMs);
  kept.mLatency(latencyMs);
  kept.mCoverage(aMeasurements.mCoverage);
  kept.mCoverageStatistics(aMeasurements.mCoverage);
  kept.mAttempts(aMeasurements.mAttempts);
  kept.mAttemptStatistics(aMeasurements.mAttempts);
  kept.mMinAttempts(aMeasurements.mMinAttempts);
  ++kept.mStatuses[aMeasurements.mStatus];
}

void
metrics::Count(const char* aName, long aBy)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mCounters[aName] += aBy;
}

void
metrics::Count(const char* aName, const metric_labels& aLabels, long aBy)
{
  const std::lock_guard lock(mState->mMutex);
  auto& kept = mState->mLabelled[aName];
  const auto found = kept.find(aLabels);
  if (found != kept.end()) {
    found->second += aBy;
    return;
  }
  metric_labels labels = aLabels;
  if (kept.size() >= kMaxLabelledSeries) {
    for (auto& [name, value] : labels) {
      value = "other";
    }
  }
  kept[labels] += aBy;
}

std::string
metrics::Exposition() const
{
  std::ostringstream out;
  const std::lock_guard lock(mState->mMutex);
  for (const auto& [name, value] : mState->mCounters) {
    out << "monsooncroft_" << name << "_total " << value << "\n";
  }
  for (const auto& [name, series] : mState->mLabelled) {
    for (const auto& [labels, value] : series) {
      out << "monsooncroft_" << name << "_total{" << Labels(labels) << "} "
          << value << "\n";
    }
  }
  for (const auto& [key, kept] : mState->mSeries) {
    const std::string labels = Labels(key);
    ExposeSummary(out,
                  "monsooncroft_query_latency_ms",
                  labels,
                  kept.mLatencyMs,
                  kept.mLatency);
    ExposeBuckets(out,
                  "monsooncroft_query_coverage",
                  labels,
                  kept.mCoverage,
                  kept.mCoverageStatistics);
    ExposeBuckets(out,
                  "monsooncroft_query_attempts",
                  labels,
                  kept.mAttempts,
                  kept.mAttemptStatistics);
    for (const auto& [status, count] : kept.mStatuses) {
      out << "monsooncroft_queries_total{" << labels << ",status=\"" << status
          << "\"} " << count << "\n";
    }
  }
  return out.str();
}

std::string
metrics::Summary() const
{
  nlohmann::json out;
  const std::lock_guard lock(mState->mMutex);
  out["counters"] = mState->mCounters;
  for (const auto& [name, series] : mState->mLabelled) {
    for (const auto& [labels, value] : series) {
      nlohmann::json row = labels;
      row["count"] = value;
      out["labelled"][name].push_back(std::move(row));
    }
  }
  out["queries"] = nlohmann::json::array();
  for (const auto& [key, kept] : mState->mSeries) {
    nlohmann::json row;
    row["service"] = key.mService.Value();
    row["kind"] = key.mKind.Value();
    row["tenant"] = key.mWorkspace.Value();
    row["count"] = acc::count(kept.mLatency);
    row["latency_ms"] = { { "mean", acc::mean(kept.mLatency) },
                          { "p50", Quantile(kept.mLatencyMs, 0.5) },
                          { "p95", Quantile(kept.mLatencyMs, 0.95) },
                          { "p99", Quantile(kept.mLatencyMs, 0.99) },
                          { "max", acc::max(kept.mLatency) } };
    row["coverage_mean"] = acc::mean(kept.mCoverageStatistics);
    row["attempts"] = acc::sum(kept.mAttemptStatistics);
    row["least_attempts"] = acc::sum(kept.mMinAttempts);
    row["statuses"] = kept.mStatuses;
    out["queries"].push_back(std::move(row));
  }
  return out.dump();
}

} // namespace monsooncroft::ops
