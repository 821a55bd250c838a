/**
 * @file hand_over_actions_base.h
 * Carries out the decisions of a hand_over.
 */
#ifndef MONSOONCROFT_SERVING_HAND_OVER_ACTIONS_BASE_H
#define MONSOONCROFT_SERVING_HAND_OVER_ACTIONS_BASE_H

#include <cstddef>

namespace monsooncroft::serving {

struct attempt_grant;

/** Carries out the decisions of a hand_over. Executions are numbered from 0 in
 * the order in which they were sent. */
class hand_over_actions
{
public:
  hand_over_actions() = default;
  virtual ~hand_over_actions() = default;
  hand_over_actions(const hand_over_actions&) = delete;
  hand_over_actions& operator=(const hand_over_actions&) = delete;
  hand_over_actions(hand_over_actions&&) = delete;
  hand_over_actions& operator=(hand_over_actions&&) = delete;

  /** Sends the query to a root that has not had it. The events of the execution
   * follow after this call.
   * @return False if there is no such root. */
  virtual bool SendToRoot(const attempt_grant& aGrant) = 0;
  /** Answers a root that asked for attempts.
   * @param aAttempts Further attempts that it may make at each shard. */
  virtual void Grant(std::size_t aExecution, int aAttempts) = 0;
  /** Ends an execution whose outcome does not matter any more. */
  virtual void Cancel(std::size_t aExecution) = 0;

  // One of these is the last call.

  /** Passes the answer of an execution on to the caller. */
  virtual void Answer(std::size_t aExecution) = 0;
  virtual void ExecuteHere(const attempt_grant& aGrant) = 0;
  virtual void Refuse() = 0; ///< Nothing has run, and nothing will.
  virtual void Fail() = 0;   ///< The query may have run.
};

} // namespace monsooncroft::serving

#endif
