/**
 * @file leaf_fault.h
 * The faults of a leaf that a test can set.
 */
#ifndef MONSOONCROFT_STANDIN_LEAF_FAULT_H
#define MONSOONCROFT_STANDIN_LEAF_FAULT_H

#include "model/time_type.h"

#include <string>

namespace monsooncroft::standin {

/** Faults in force. */
struct leaf_fault
{
  double mSlowFactor = 1; ///< Service times are this many times longer.
  double mShed = 0;       ///< Share of requests refused.
  bool mDraining = false;
  bool mHang = false;       ///< Requests are read and never answered.
  bool mLie = false;        ///< Reports idle and not draining.
  std::string mCrashOnBody; ///< A body with this text ends the leaf.
  model::duration mRestart{ std::chrono::milliseconds(500) }; ///< Of a crash.
  int mDropReplies = 0;         ///< This many runs close without an answer.
  int mWrongIds = 0;            ///< This many answers carry foreign ids.
  int mDuplicateReplies = 0;    ///< This many answers are sent twice.
  int mFail = 0;                ///< This many runs end with an error.
  model::duration mLateReply{}; ///< From the end of a run to its answer.

  bool operator==(const leaf_fault&) const = default;
};

} // namespace monsooncroft::standin

#endif
