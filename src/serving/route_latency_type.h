/**
 * @file route_latency_type.h
 * Service times of a route, over all leaves.
 */
#ifndef MONSOONCROFT_SERVING_ROUTE_LATENCY_TYPE_H
#define MONSOONCROFT_SERVING_ROUTE_LATENCY_TYPE_H

#include "policy/latency_tracker_base.h"

#include <algorithm>

namespace monsooncroft::serving {

/**
 * Service times of one route's attempts, without the network round trip: a
 * slowly moving mean and a high quantile. Before the first answers both are
 * estimated from the target latency.
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

  void Add(model::duration aServiceTime, model::instant aNow)
  {
    // A pause of one leaf must not distort the mean of the route.
    const auto bounded = std::min(aServiceTime, 8 * mMean);
    mMean += (bounded - mMean) / kMeanSampleCount;
    mMean = std::max<model::duration>(mMean, std::chrono::microseconds(200));
    mHighQuantile.Add(aServiceTime, aNow);
  }

  /** Adds the time from the decision to answer until the answer was sent. */
  void AddAnswerTime(model::duration aTime)
  {
    mAnswerTime = mAnswerTime.count() == 0
                    ? aTime
                    : mAnswerTime + (aTime - mAnswerTime) / kAnswerTimeCount;
  }

  /** Usual time to merge and send an answer; 0 before the first. */
  model::duration AnswerTime() const { return mAnswerTime; }
  model::duration Mean() const { return mMean; }
  /** Service time within which most attempts are answered (kHighQuantile). */
  model::duration HighQuantile() const
  {
    return mHighQuantile.Quantile().value_or(mInitialHigh);
  }

private:
  static constexpr double kHighQuantile = 0.9;
  static constexpr int kInitialMeanDivisor = 8; ///< Target latencies are
                                                ///< several times the mean.
  static constexpr int kMeanSampleCount = 32; ///< Answers that the mean spans.

  /** Answers that the mean answer time spans. */
  static constexpr int kAnswerTimeCount = 8;

  model::duration mMean;
  model::duration mAnswerTime{ 0 };
  model::duration mInitialHigh;
  policy::latency_tracker mHighQuantile;
};

} // namespace monsooncroft::serving

#endif
