/**
 * @file hand_over_base.h
 * Decides which instances execute one query over many shards.
 */
#ifndef MONSOONCROFT_SERVING_HAND_OVER_BASE_H
#define MONSOONCROFT_SERVING_HAND_OVER_BASE_H

#include "model/time_type.h"
#include "serving/attempt_allowance_base.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace monsooncroft::serving {

class hand_over_actions;

/**
 * Hands a query to a root, to a second one if the first does not confirm it,
 * and has it executed by this instance if neither does.
 *
 * A root may have executed a query of which its receiver has heard nothing: the
 * link may be slow, either instance may have been suspended, the connection may
 * have ended. Each execution therefore begins with one attempt a shard and asks
 * for those that its hedges and retries need; the receiver grants what it has
 * not granted to another.
 */
class hand_over
{
public:
  /** @param aMaxAttempts Attempts at each shard that the route allows.
   * @param aActions Outlives this object. */
  hand_over(int aMaxAttempts, hand_over_actions& aActions)
    : mAllowance(aMaxAttempts)
    , mActions(aActions)
  {
  }

  void Start(model::instant aNow) { SendNext(aNow); }
  void OnConfirmed(std::size_t aExecution);
  void OnAttemptsWanted(std::size_t aExecution);
  /** The confirmation is overdue.
   * @param aWasSent A byte of the query was sent. */
  void OnUnconfirmed(std::size_t aExecution,
                     bool aWasSent,
                     model::instant aNow);
  /** There is no answer and will be none. */
  void OnLost(std::size_t aExecution, bool aWasSent, model::instant aNow);
  /** The root has not executed the query, and will not.
   * @param aOverloaded It has no room for it. */
  void OnRefused(std::size_t aExecution, bool aOverloaded, model::instant aNow);
  void OnAnswer(std::size_t aExecution, bool aSucceeded, model::instant aNow);
  void OnCallerLeft();
  void OnDeadline();                 ///< The caller waits no longer.
  void OnTimer(model::instant aNow); ///< NextWake() is due.
  /** Nothing if no time is waited for. */
  std::optional<model::instant> NextWake() const { return mGiveUpAt; }
  /** Whether an execution other than this one may have run the query. */
  bool MayHaveRunBeside(std::size_t aExecution) const;
  bool IsDone() const { return mDone; }

private:
  /** The query at one root. */
  struct execution
  {
    int mGranted = 0;
    bool mActive = true; ///< Its answer may still arrive.
    bool mConfirmed = false;
    /** The root may have begun to execute the query. */
    bool mMayHaveRun = false;
  };

  bool IsActive(std::size_t aExecution) const
  {
    return !mDone && mExecutions[aExecution].mActive;
  }
  bool AnyActive() const;
  bool AnyConfirmed() const;
  bool AnyMayHaveRun() const;
  void SendNext(model::instant aNow);
  /** Ends an execution and continues without it. */
  void GoOnWithout(std::size_t aExecution, model::instant aNow);
  /** Waits for the executions that have all attempts. */
  void AwaitAnswers(model::instant aNow);
  void Finish(); ///< Cancels what is active; an action follows.

  attempt_allowance mAllowance;
  hand_over_actions& mActions;
  std::vector<execution> mExecutions;
  /** A failure that a root answered while another was executing the query. */
  std::optional<std::size_t> mFailedAnswer;
  std::optional<model::instant> mGiveUpAt;
  bool mOverloaded = false;
  bool mDone = false;
};

} // namespace monsooncroft::serving

#endif
