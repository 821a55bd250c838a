/**
 * @file arrival_schedule.h
 * When which query is due.
 */
#ifndef MONSOONCROFT_BENCH_LOAD_ARRIVAL_SCHEDULE_H
#define MONSOONCROFT_BENCH_LOAD_ARRIVAL_SCHEDULE_H

#include "bench/load/load_plan.h"

#include <cstddef>
#include <vector>

namespace monsooncroft::bench {

/** One query to send. */
struct arrival
{
  model::duration mDue{ 0 }; ///< From the start of the run.
  std::size_t mFlow = 0;     ///< Index in load_plan::mFlows.
  std::size_t mService = 0;  ///< Index in load_flow::mServices.

  bool operator==(const arrival&) const = default;
};

/**
 * Draws independent Poisson arrivals for each flow. They depend on the seed
 * only, never on how fast answers come, and a flow's do not change with the
 * flows beside it.
 * @return Arrivals by due time.
 */
std::vector<arrival>
DrawArrivals(const load_plan& aPlan);

} // namespace monsooncroft::bench

#endif
