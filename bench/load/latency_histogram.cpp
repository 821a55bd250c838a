/**
 * @file latency_histogram.cpp
 * Bins by Boost.Histogram.
 */
#include "bench/load/latency_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace monsooncroft::bench {

namespace {

namespace bh = boost::histogram;

constexpr double kLeastMs = 0.01;
constexpr double kGreatestMs = 100000;
constexpr unsigned kBins = 1620; ///< 1% wide each.

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto
MakeBins()
{
  return bh::make_histogram(log_axis(kBins, kLeastMs, kGreatestMs));
}

} // namespace

struct latency_histogram::bins
{
  decltype(MakeBins()) mHistogram = MakeBins();
  unsigned long mCount = 0;
};

latency_histogram::latency_histogram()
  : mBins(std::make_unique<bins>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void
latency_histogram::Add(double aMilliseconds)
{
  mBins->mHistogram(std::clamp(aMilliseconds, kLeastMs, kGreatestMs));
  ++mBins->mCount;
  mMax = std::max(mMax, aMilliseconds);
}

double
latency_histogram::Quantile(double aFraction) const
{
  const double rank =
    std::max(1.0, std::ceil(aFraction * static_cast<double>(mBins->mCount)));
  double below = 0;
  for (const auto& bin : bh::indexed(mBins->mHistogram, bh::coverage::all)) {
    below += static_cast<double>(*bin);
    if (mBins->mCount > 0 && below >= rank) {
      return std::min(mMax, bin.bin().upper());
    }
  }
  return 0;
}

unsigned long
latency_histogram::Count() const
{
  return mBins->mCount;
}

} // namespace monsooncroft::bench
