/**
 * @file admission_type.h
 * What waits for a leaf's slots, and what an admission queue answers.
 */
#ifndef MONSOONCROFT_POLICY_ADMISSION_TYPE_H
#define MONSOONCROFT_POLICY_ADMISSION_TYPE_H

#include "model/contract_type.h"
#include "model/time_type.h"

#include <variant>
#include <vector>

namespace monsooncroft::policy {

/** One attempt that asks for a slot of a leaf. */
struct admission_item
{
  model::attempt_id mAttempt;
  model::urgency mUrgency = model::urgency::Normal;
  model::workspace_id mWorkspace;
  double mWeight = 1;       ///< The tenant's share, relative to the others.
  model::instant mDeadline; ///< Its result is worthless from here on.
};

/** Why an attempt got no slot; it did not run. */
enum class refusal
{
  TooLate,   ///< It could not end before its deadline.
  QueueFull, ///< The queue is full of items that go before it.
  Evicted,   ///< It gave its place in a full queue to a better item.
  Draining,  ///< The leaf is leaving.
  Cancelled, ///< It was cancelled before it got a slot.
};

/** Name of a refusal on the wire, such as "queue_full". */
const char*
ToString(refusal aRefusal);

/** The attempt holds a slot now: send it to the leaf. */
struct dispatch_effect
{
  model::attempt_id mAttempt;

  bool operator==(const dispatch_effect&) const = default;
};

/** The attempt will not run here. */
struct refuse_effect
{
  model::attempt_id mAttempt;
  refusal mRefusal = refusal::TooLate;

  bool operator==(const refuse_effect&) const = default;
};

using admission_effect = std::variant<dispatch_effect, refuse_effect>;
using admission_effects = std::vector<admission_effect>;

/** In which order the queue is served. */
enum class admission_mode
{
  Weighted, ///< Urgency with ageing, tenants' shares, deadlines; sheds early.
  Fifo,     ///< Arrival order, sheds when full: the baseline.
};

/** Parameters of an admission queue. */
struct admission_settings
{
  admission_mode mMode = admission_mode::Weighted;
  std::size_t mQueueLimit = 64; ///< Attempts that may wait.
  /** A class of urgency that was not served for this long counts as one class
   * more urgent. */
  model::duration mAgeingStep{ 40'000 };
  model::duration mInitialServiceTime{ 10'000 }; ///< Until the first sample.
  bool mAdaptive = true; ///< Shrink the slots when the leaf slows down.
};

} // namespace monsooncroft::policy

#endif
