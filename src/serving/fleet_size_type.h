/**
 * @file fleet_size_type.h
 * Number of instances that share leaves and budgets.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_SIZE_TYPE_H
#define MONSOONCROFT_SERVING_FLEET_SIZE_TYPE_H

#include <cstddef>

namespace monsooncroft::serving {

/** Instances that may hold connections or spend budget, including this one. */
struct fleet_size
{
  std::size_t mTotal = 1;
  std::size_t mInOwnDataCentre = 1;

  bool operator==(const fleet_size&) const = default;
};

} // namespace monsooncroft::serving

#endif
