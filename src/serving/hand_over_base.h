/**
 * @file hand_over_base.h
 * Decides which instances execute one query over many shards.
 */
#ifndef MONSOONCROFT_SERVING_HAND_OVER_BASE_H
#define MONSOONCROFT_SERVING_HAND_OVER_BASE_H

#include "model/time_type.h"

#include <cstddef>
#include <vector>

namespace monsooncroft::serving {

class hand_over_actions;

/** Hands a query to a root, to a second one if the first does not confirm it,
 * and has it executed by this instance if neither does. */
class hand_over
{
public:
  /** @param aMaxAttempts Attempts at each shard that the route allows.
   * @param aActions Outlives this object. */
  hand_over(int aMaxAttempts, hand_over_actions& aActions)
    : mMaxAttempts(aMaxAttempts)
    , mActions(aActions)
  {
  }

  void Start(model::instant aNow) { SendNext(aNow); }
  void OnConfirmed(std::size_t aExecution);
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
  void OnAnswer(std::size_t aExecution);
  void OnCallerLeft();
  void OnDeadline(); ///< The caller waits no longer.
  /** Whether an execution other than this one may have run the query. */
  bool MayHaveRunBeside(std::size_t aExecution) const;
  bool IsDone() const { return mDone; }

private:
  /** The query at one root. */
  struct execution
  {
    bool mActive = true; ///< Its answer may still arrive.
    /** The root may have begun to execute the query. */
    bool mMayHaveRun = false;
  };

  bool IsActive(std::size_t aExecution) const
  {
    return !mDone && mExecutions[aExecution].mActive;
  }
  bool AnyMayHaveRun() const;
  void SendNext(model::instant aNow);
  void Finish(); ///< Cancels what is active; an action follows.

  int mMaxAttempts;
  hand_over_actions& mActions;
  std::vector<execution> mExecutions;
  bool mOverloaded = false;
  bool mDone = false;
};

} // namespace monsooncroft::serving

#endif
