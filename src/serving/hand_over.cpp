/**
 * @file hand_over.cpp
 * Decides which instances execute one query over many shards.
 */
#include "serving/hand_over_base.h"

#include "serving/attempt_grant_type.h"
#include "serving/hand_over_actions_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Roots that get one query at most. */
constexpr std::size_t kMaxRoots = 2;

} // namespace

bool
hand_over::AnyMayHaveRun() const
{
  return std::any_of(
    mExecutions.begin(), mExecutions.end(), [](const execution& aExecution) {
      return aExecution.mMayHaveRun;
    });
}

bool
hand_over::MayHaveRunBeside(std::size_t aExecution) const
{
  for (std::size_t other = 0; other < mExecutions.size(); ++other) {
    if (other != aExecution && mExecutions[other].mMayHaveRun) {
      return true;
    }
  }
  return false;
}

void
hand_over::SendNext(model::instant /*aNow*/)
{
  const bool isResent = AnyMayHaveRun();
  const int attempts = isResent ? 1 : mMaxAttempts;
  if (mExecutions.size() < kMaxRoots) {
    mExecutions.push_back({});
    if (mActions.SendToRoot({ attempts, 0, isResent })) {
      return;
    }
    mExecutions.pop_back();
  }
  Finish();
  if (mOverloaded && !isResent) {
    mActions.Refuse();
  } else {
    mActions.ExecuteHere({ attempts, 0, isResent });
  }
}

void
hand_over::OnConfirmed(std::size_t aExecution)
{
  if (IsActive(aExecution)) {
    mExecutions[aExecution].mMayHaveRun = true;
  }
}

void
hand_over::OnUnconfirmed(std::size_t aExecution,
                         bool aWasSent,
                         model::instant aNow)
{
  if (IsActive(aExecution)) {
    mActions.Cancel(aExecution);
    OnLost(aExecution, aWasSent, aNow);
  }
}

void
hand_over::OnLost(std::size_t aExecution, bool aWasSent, model::instant aNow)
{
  if (IsActive(aExecution)) {
    mExecutions[aExecution].mActive = false;
    mExecutions[aExecution].mMayHaveRun = aWasSent;
    SendNext(aNow);
  }
}

void
hand_over::OnRefused(std::size_t aExecution,
                     bool aOverloaded,
                     model::instant aNow)
{
  if (IsActive(aExecution)) {
    mExecutions[aExecution].mActive = false;
    mExecutions[aExecution].mMayHaveRun = false;
    mOverloaded = mOverloaded || aOverloaded;
    SendNext(aNow);
  }
}

void
hand_over::OnAnswer(std::size_t aExecution)
{
  if (IsActive(aExecution)) {
    mExecutions[aExecution].mActive = false;
    Finish();
    mActions.Answer(aExecution);
  }
}

void
hand_over::OnDeadline()
{
  if (!mDone) {
    Finish();
    mActions.Fail();
  }
}

void
hand_over::OnCallerLeft()
{
  if (!mDone) {
    Finish();
  }
}

void
hand_over::Finish()
{
  mDone = true;
  for (std::size_t index = 0; index < mExecutions.size(); ++index) {
    if (mExecutions[index].mActive) {
      mExecutions[index].mActive = false;
      mActions.Cancel(index);
    }
  }
}

} // namespace monsooncroft::serving
