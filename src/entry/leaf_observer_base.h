/**
 * @file leaf_observer_base.h
 * Who learns from what happens at leaves.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_OBSERVER_BASE_H
#define MONSOONCROFT_ENTRY_LEAF_OBSERVER_BASE_H

#include "link/leaf_link_base.h"
#include "model/time_type.h"

namespace monsooncroft::entry {

struct leaf_job;

/** Hears of the end of each attempt that was handed to a leaf's link. */
class leaf_observer
{
public:
  virtual ~leaf_observer() = default;
  virtual void OnAttemptEnd(const model::leaf& aLeaf,
                            const leaf_job& aJob,
                            const link::attempt_end& aEnd,
                            model::duration aTook) = 0;
};

} // namespace monsooncroft::entry

#endif
