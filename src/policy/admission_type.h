/**
 * @file admission_type.h
 * Items, effects and settings of an admission queue.
 */
#ifndef MONSOONCROFT_POLICY_ADMISSION_TYPE_H
#define MONSOONCROFT_POLICY_ADMISSION_TYPE_H

#include "model/contract_type.h"
#include "model/time_type.h"

#include <variant>
#include <vector>

namespace monsooncroft::policy {

/** An attempt that requests a slot of a leaf. */
struct admission_item
{
  model::attempt_id mAttempt;
  model::urgency mUrgency = model::urgency::Normal;
  model::workspace_id mWorkspace;
  double mWeight = 1;       ///< Workspace's share relative to other workspaces.
  model::instant mDeadline; ///< A later result is of no use.
};

/** Reason why an attempt got no slot. A refused attempt did not run. */
enum class refusal
{
  TooLate,   ///< The attempt could not finish before its deadline.
  QueueFull, ///< The queue is full of items with higher priority.
  Evicted,   ///< Removed from a full queue for an item with higher priority.
  Draining,  ///< The leaf is draining.
  Cancelled, ///< The attempt was cancelled before it got a slot.
};

/** Returns the name of a refusal on the wire, such as "queue_full". */
const char*
ToString(refusal aRefusal);

/** The attempt has got a slot: send it to the leaf. */
struct dispatch_effect
{
  model::attempt_id mAttempt;

  bool operator==(const dispatch_effect&) const = default;
};

/** The attempt is refused and does not run at this leaf. */
struct refuse_effect
{
  model::attempt_id mAttempt;
  refusal mRefusal = refusal::TooLate;

  bool operator==(const refuse_effect&) const = default;
};

using admission_effect = std::variant<dispatch_effect, refuse_effect>;
using admission_effects = std::vector<admission_effect>;

/** Order in which an admission queue is served. */
enum class admission_mode
{
  Weighted, ///< Urgency with ageing, workspace shares, deadlines; sheds early.
  Fifo,     ///< Arrival order; sheds when full. Baseline for comparison.
};

/** Settings of an admission queue. */
struct admission_settings
{
  admission_mode mMode = admission_mode::Weighted;
  std::size_t mQueueLimit = 64; ///< Maximum number of waiting attempts.
  /** An urgency class that was not served for this long counts as one class
   * more urgent. */
  model::duration mAgeingStep{ 40'000 };
  /** Used until the first sample. */
  model::duration mInitialServiceTime{ 10'000 };
  /** Reduce the slots when concurrency slows the leaf down. */
  bool mAdaptive = true;
};

} // namespace monsooncroft::policy

#endif
