/**
 * @file attempt_sender_base.h
 * Where a fan-out's attempts go: to leaves, or to the instances that own them.
 */
#ifndef MONSOONCROFT_ENTRY_ATTEMPT_SENDER_BASE_H
#define MONSOONCROFT_ENTRY_ATTEMPT_SENDER_BASE_H

#include "model/attempt_type.h"
#include "policy/fanout_type.h"

#include <functional>
#include <vector>

namespace monsooncroft::entry {

/** Reason of an attempt in whose flight the leaf died: the fan-out sends
 * nothing more to shards that may have run. */
constexpr const char* kReasonLeafDied = "leaf_died";

/** Carries out a fan-out's sends and cancellations. Thread safe. */
class attempt_sender
{
public:
  using callback = std::function<void(const model::attempt_result&)>;

  virtual ~attempt_sender() = default;

  /**
   * Sends attempts that were decided on together.
   * @param aSends The attempts.
   * @param aDone Called once for each attempt, on any thread, perhaps before
   * Send returns.
   */
  virtual void Send(const std::vector<policy::send_effect>& aSends,
                    const callback& aDone) = 0;

  virtual void Cancel(const std::vector<policy::cancel_effect>& aCancels) = 0;
};

} // namespace monsooncroft::entry

#endif
