/**
 * @file load_run.h
 * Sends the load of a plan.
 */
#ifndef MONSOONCROFT_BENCH_LOAD_LOAD_RUN_H
#define MONSOONCROFT_BENCH_LOAD_LOAD_RUN_H

#include "bench/load/load_plan.h"

#include <string>

namespace monsooncroft::bench {

/**
 * Sends every arrival at its due time, whether earlier ones were answered or
 * not, and waits for the ends.
 * @return The report as JSON.
 */
std::string
RunLoad(const load_plan& aPlan);

} // namespace monsooncroft::bench

#endif
