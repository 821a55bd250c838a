/**
 * @file arrival_schedule.cpp
 * Poisson arrivals: exponential gaps.
 */
#include "bench/load/arrival_schedule.h"

#include <algorithm>
#include <random>

namespace monsooncroft::bench {

namespace {

using seconds = std::chrono::duration<double>;

void
DrawFlow(const load_plan& aPlan,
         std::size_t aFlow,
         std::vector<arrival>& aArrivals)
{
  const load_flow& flow = aPlan.mFlows[aFlow];
  std::seed_seq seed{ static_cast<std::uint32_t>(aPlan.mSeed),
                      static_cast<std::uint32_t>(aFlow) };
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(flow.mRatePerSecond);
  std::uniform_int_distribution<std::size_t> service(0,
                                                     flow.mServices.size() - 1);
  seconds due = flow.mStart;
  while (true) {
    due += seconds(gap(random));
    if (due >= aPlan.mLength) {
      return;
    }
    aArrivals.push_back({ std::chrono::duration_cast<model::duration>(due),
                          aFlow,
                          service(random) });
  }
}

} // namespace

std::vector<arrival>
DrawArrivals(const load_plan& aPlan)
{
  std::vector<arrival> arrivals;
  for (std::size_t flow = 0; flow < aPlan.mFlows.size(); ++flow) {
    DrawFlow(aPlan, flow, arrivals);
  }
  std::ranges::stable_sort(arrivals, {}, &arrival::mDue);
  return arrivals;
}

} // namespace monsooncroft::bench
