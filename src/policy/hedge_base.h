/**
 * @file hedge_base.h
 * When a second attempt is worth its load: interfaces that a fan-out asks.
 */
#ifndef MONSOONCROFT_POLICY_HEDGE_BASE_H
#define MONSOONCROFT_POLICY_HEDGE_BASE_H

#include "model/time_type.h"

#include <optional>

namespace monsooncroft::policy {

/** Decides how long an attempt may run before another candidate is hedged. */
class hedge_policy
{
public:
  virtual ~hedge_policy() = default;

  /** Delay from an attempt's send to its hedge; nothing: do not hedge. */
  virtual std::optional<model::duration> HedgeDelay() const = 0;
};

/** Limits attempts beyond the first, hedges and retries together. */
class extra_attempt_budget
{
public:
  virtual ~extra_attempt_budget() = default;

  /** Counts one first attempt, which earns a fraction of an extra one. */
  virtual void OnFirstAttempt() = 0;

  /**
   * Takes one extra attempt out of the budget.
   * @return False if the budget is spent; nothing is taken then.
   */
  virtual bool TryTake() = 0;
};

} // namespace monsooncroft::policy

#endif
