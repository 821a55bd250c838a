/**
 * @file latency_tracker.cpp
 * Quantile estimates by the P-square algorithm, one per window.
 */
#include "policy/latency_tracker_base.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace monsooncroft::policy {

namespace acc = boost::accumulators;

/** P-square estimate of one window, in constant memory. */
struct latency_tracker::window
{
  window(double aQuantile, model::instant aStart)
    : mSamples(acc::quantile_probability = aQuantile)
    , mStart(aStart)
  {
  }

  std::optional<model::duration> Estimate() const
  {
    if (acc::count(mSamples) < kMinSamples) {
      return std::nullopt;
    }
    return model::duration(
      static_cast<model::duration::rep>(acc::p_square_quantile(mSamples)));
  }

  acc::accumulator_set<double,
                       acc::stats<acc::tag::count, acc::tag::p_square_quantile>>
    mSamples;
  model::instant mStart;
};

latency_tracker::latency_tracker(double aQuantile, model::duration aWindow)
  : mQuantile(aQuantile)
  , mWindowLength(aWindow)
{
}

latency_tracker::~latency_tracker() = default;
latency_tracker::latency_tracker(latency_tracker&&) noexcept = default;
latency_tracker&
latency_tracker::operator=(latency_tracker&&) noexcept = default;

void
latency_tracker::Add(model::duration aLatency, model::instant aNow)
{
  // A window with too few samples is extended: rare queries would otherwise
  // never give an estimate.
  if (mCurrentWindow && aNow - mCurrentWindow->mStart >= mWindowLength) {
    if (const std::optional<model::duration> ended =
          mCurrentWindow->Estimate()) {
      mPreviousEstimate = ended;
      mCurrentWindow.reset();
    }
  }
  if (!mCurrentWindow) {
    mCurrentWindow = std::make_unique<window>(mQuantile, aNow);
  }
  mCurrentWindow->mSamples(static_cast<double>(aLatency.count()));
}

std::optional<model::duration>
latency_tracker::Quantile() const
{
  if (mPreviousEstimate || !mCurrentWindow) {
    return mPreviousEstimate;
  }
  return mCurrentWindow->Estimate();
}

} // namespace monsooncroft::policy
