/**
 * @file leaf_observer_base.h
 * Who learns from what happens at leaves.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_OBSERVER_BASE_H
#define MONSOONCROFT_ENTRY_LEAF_OBSERVER_BASE_H

#include "link/leaf_client_base.h"
#include "model/time_type.h"

#include <functional>

namespace monsooncroft::entry {

struct leaf_job;

/** Hears of the end of each attempt that was handed to a leaf's link. */
class leaf_observer
{
public:
  /** Hands the attempt's end on; told whether the leaf died of it, perhaps. */
  using release = std::function<void(bool)>;

  virtual ~leaf_observer() = default;
  /** @param aRelease To be called once, now or when the fate is known. */
  virtual void OnAttemptEnd(const model::leaf& aLeaf,
                            const leaf_job& aJob,
                            const link::attempt_end& aEnd,
                            model::duration aTook,
                            release aRelease) = 0;
};

} // namespace monsooncroft::entry

#endif
