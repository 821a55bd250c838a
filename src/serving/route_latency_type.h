/**
 * @file route_latency_type.h
 * What is known of a route's work, apart from any one leaf.
 */
#ifndef MONSOONCROFT_SERVING_ROUTE_LATENCY_TYPE_H
#define MONSOONCROFT_SERVING_ROUTE_LATENCY_TYPE_H

#include "policy/latency_tracker_base.h"

#include <algorithm>

namespace monsooncroft::serving {

/**
 * Latency of one route's attempts without the way there and back: a mean that
 * forgets slowly, and a high quantile. Before the first answers the target
 * latency stands in.
 */
class route_latency
{
public:
  /** @param aTarget The route's target latency. */
  explicit route_latency(model::duration aTarget)
    : mMean(std::max<model::duration>(aTarget / kInitialMeanDivisor,
                                      std::chrono::milliseconds(1)))
    , mInitialHigh(
        std::max<model::duration>(aTarget / 4, std::chrono::milliseconds(2)))
    , mHighQuantile(kHighQuantile, std::chrono::seconds(2))
  {
  }

  void Add(model::duration aWork, model::instant aNow)
  {
    // A pause of the leaf is no property of the route.
    const auto bounded = std::min(aWork, 8 * mMean);
    mMean += (bounded - mMean) / kMeanSampleCount;
    mMean = std::max<model::duration>(mMean, std::chrono::microseconds(200));
    mHighQuantile.Add(aWork, aNow);
  }

  model::duration Mean() const { return mMean; }
  /** Most answers are there by then. */
  model::duration HighQuantile() const
  {
    return mHighQuantile.Quantile().value_or(mInitialHigh);
  }

private:
  static constexpr double kHighQuantile = 0.9;
  static constexpr int kInitialMeanDivisor =
    8; ///< Target latencies leave room for
       ///< several times the usual work.
  static constexpr int kMeanSampleCount = 32; ///< Answers that the mean spans.

  model::duration mMean;
  model::duration mInitialHigh;
  policy::latency_tracker mHighQuantile;
};

} // namespace monsooncroft::serving

#endif
