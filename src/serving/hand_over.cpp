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
/** Time in which a confirmation or an answer arrives behind a configuration
 * that fills a slow link. */
constexpr std::chrono::milliseconds kDelayedAnswerTimeout{ 200 };

} // namespace

bool
hand_over::AnyActive() const
{
  return std::any_of(
    mExecutions.begin(), mExecutions.end(), [](const execution& aExecution) {
      return aExecution.mActive;
    });
}

bool
hand_over::AnyConfirmed() const
{
  return std::any_of(
    mExecutions.begin(), mExecutions.end(), [](const execution& aExecution) {
      return aExecution.mActive && aExecution.mConfirmed;
    });
}

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
hand_over::SendNext(model::instant aNow)
{
  const bool isResent = AnyMayHaveRun();
  if (mAllowance.Remaining() == 0) {
    AwaitAnswers(aNow);
    return;
  }
  if (mExecutions.size() < kMaxRoots) {
    execution next;
    next.mGranted = mAllowance.TakeOne();
    mExecutions.push_back(next);
    if (mActions.SendToRoot(
          { next.mGranted, mAllowance.Remaining(), isResent })) {
      return;
    }
    mExecutions.pop_back();
    mAllowance.Return(next.mGranted);
  }
  Finish();
  if (mOverloaded && !isResent) {
    mActions.Refuse();
  } else {
    mActions.ExecuteHere({ mAllowance.TakeRest(), 0, isResent });
  }
}

void
hand_over::AwaitAnswers(model::instant aNow)
{
  if (AnyConfirmed()) {
    return;
  }
  if (AnyActive()) {
    mGiveUpAt = aNow + kDelayedAnswerTimeout;
    return;
  }
  Finish();
  mActions.Fail();
}

void
hand_over::OnConfirmed(std::size_t aExecution)
{
  if (IsActive(aExecution)) {
    mExecutions[aExecution].mConfirmed = true;
    mExecutions[aExecution].mMayHaveRun = true;
    mGiveUpAt.reset();
  }
}

void
hand_over::OnAttemptsWanted(std::size_t aExecution)
{
  if (IsActive(aExecution)) {
    const int attempts = mAllowance.TakeRest();
    mExecutions[aExecution].mGranted += attempts;
    mActions.Grant(aExecution, attempts);
  }
}

void
hand_over::OnUnconfirmed(std::size_t aExecution,
                         bool aWasSent,
                         model::instant aNow)
{
  if (!IsActive(aExecution)) {
    return;
  }
  if (!aWasSent) {
    mActions.Cancel(aExecution);
    OnLost(aExecution, false, aNow);
    return;
  }
  mExecutions[aExecution].mMayHaveRun = true;
  SendNext(aNow);
}

void
hand_over::OnLost(std::size_t aExecution, bool aWasSent, model::instant aNow)
{
  if (!IsActive(aExecution)) {
    return;
  }
  execution& lost = mExecutions[aExecution];
  if (aWasSent) {
    lost.mMayHaveRun = true;
  } else {
    mAllowance.Return(std::exchange(lost.mGranted, 0));
  }
  GoOnWithout(aExecution, aNow);
}

void
hand_over::OnRefused(std::size_t aExecution,
                     bool aOverloaded,
                     model::instant aNow)
{
  if (!IsActive(aExecution)) {
    return;
  }
  execution& refused = mExecutions[aExecution];
  refused.mMayHaveRun = false;
  mAllowance.Return(std::exchange(refused.mGranted, 0));
  mOverloaded = mOverloaded || aOverloaded;
  GoOnWithout(aExecution, aNow);
}

void
hand_over::GoOnWithout(std::size_t aExecution, model::instant aNow)
{
  mExecutions[aExecution].mActive = false;
  if (mFailedAnswer && !AnyActive()) {
    Finish();
    mActions.Answer(*mFailedAnswer);
    return;
  }
  // An earlier execution that was lost has been replaced already.
  if (!AnyConfirmed() &&
      (aExecution + 1 == mExecutions.size() || !AnyActive())) {
    SendNext(aNow);
  }
}

void
hand_over::OnAnswer(std::size_t aExecution,
                    bool aSucceeded,
                    model::instant aNow)
{
  if (!IsActive(aExecution)) {
    return;
  }
  mExecutions[aExecution].mActive = false;
  mExecutions[aExecution].mMayHaveRun = true;
  if (!aSucceeded && AnyActive()) {
    mFailedAnswer = aExecution;
    AwaitAnswers(aNow);
    return;
  }
  Finish();
  mActions.Answer(aExecution);
}

void
hand_over::OnTimer(model::instant aNow)
{
  if (mDone || !mGiveUpAt || aNow < *mGiveUpAt) {
    return;
  }
  Finish();
  if (mFailedAnswer) {
    mActions.Answer(*mFailedAnswer);
  } else {
    mActions.Fail();
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
  mGiveUpAt.reset();
  for (std::size_t index = 0; index < mExecutions.size(); ++index) {
    if (mExecutions[index].mActive) {
      mExecutions[index].mActive = false;
      mActions.Cancel(index);
    }
  }
}

} // namespace monsooncroft::serving
