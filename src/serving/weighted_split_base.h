/**
 * @file weighted_split_base.h
 * Splits a route's requests between services by weight.
 */
#ifndef MONSOONCROFT_SERVING_WEIGHTED_SPLIT_BASE_H
#define MONSOONCROFT_SERVING_WEIGHTED_SPLIT_BASE_H

#include "serving/route_type.h"

#include <unordered_map>

namespace monsooncroft::serving {

/**
 * Chooses services by a golden-ratio low-discrepancy sequence: its points cover
 * the unit interval evenly at any length, and each point selects the service
 * whose share of the interval contains it. Each instance begins at another
 * offset. When many instances each receive few requests of a route, all of them
 * together still keep to the weights; random choice would deviate by the square
 * root of the count, and a weighted round robin per instance by its first
 * picks. A request whose service cannot take it is rejected, never moved to
 * another service, so that the shares hold while one service lacks capacity.
 */
class weighted_split
{
public:
  /** @param aOffset Start of this instance's sequence, from 0 to 1. */
  explicit weighted_split(double aOffset)
    : mOffset(aOffset)
  {
  }

  /** Chooses the service for the next request of a route with targets. */
  const std::string& NextService(const route& aRoute);

private:
  double mOffset;
  std::unordered_map<std::string, std::uint64_t> mRequests; ///< By route.
};

} // namespace monsooncroft::serving

#endif
