/**
 * @file hedge_base.h
 * Interfaces through which a fan-out decides on hedges and retries.
 */
#ifndef MONSOONCROFT_POLICY_HEDGE_BASE_H
#define MONSOONCROFT_POLICY_HEDGE_BASE_H

#include "model/time_type.h"

#include <optional>

namespace monsooncroft::policy {

/** Decides how long an attempt may run before a hedge goes to another
 * candidate. */
class hedge_policy
{
public:
  virtual ~hedge_policy() = default;

  /** Delay from an attempt's send to its hedge; empty if it is not hedged. */
  virtual std::optional<model::duration> HedgeDelay() const = 0;
};

/** Limits extra attempts; hedges and retries share one budget. */
class extra_attempt_budget
{
public:
  virtual ~extra_attempt_budget() = default;

  /** Records a first attempt, which earns a fraction of an extra attempt. */
  virtual void OnFirstAttempt() = 0;

  /**
   * Takes one extra attempt from the budget.
   * @return False if the budget is spent; nothing is taken then.
   */
  virtual bool TryTake() = 0;
};

} // namespace monsooncroft::policy

#endif
