/**
 * @file clock_func.h
 * The process's clocks; only shells read them, decisions are handed the time.
 */
#ifndef MONSOONCROFT_ENTRY_CLOCK_FUNC_H
#define MONSOONCROFT_ENTRY_CLOCK_FUNC_H

#include "model/time_type.h"

namespace monsooncroft::entry {

/** Monotonic time. */
inline model::instant
Now()
{
  return std::chrono::time_point_cast<model::duration>(
    std::chrono::steady_clock::now());
}

/** Wall-clock time. */
inline model::wall_instant
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

} // namespace monsooncroft::entry

#endif
