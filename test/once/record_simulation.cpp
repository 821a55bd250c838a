/**
 * @file record_simulation.cpp
 * Steps of the model.
 */
#include "once/record_simulation.h"

#include <utility>

namespace monsooncroft::once {

namespace {

using namespace std::chrono_literals;
using stage = simulated_call::stage;

constexpr auto kWindow = 1000ms;
/** Start, a short pause, past the acceptance age, past the pruning age, past
 * every memory. */
constexpr std::array<std::chrono::milliseconds, 5>
  kTimes = { 0ms, 10ms, kWindow / 2 + 1ms, kWindow + 1ms, 2 * kWindow + 1ms };
constexpr std::size_t kPruningTime = 3; ///< Index into kTimes.
const request_hash kStudied{ 1, 1 };
const request_hash kOther{ 2, 2 };

simulated_instance
Fresh(const record_settings& aSettings, const char* aName, std::uint64_t aLife)
{
  const incarnation self{ model::instance_id(aName), aLife };
  return { record_keeper(aSettings, self), self, {}, {}, {}, 0, -1 };
}

} // namespace

record_simulation::record_simulation(const record_simulation_options& aOptions)
  : mOptions(aOptions)
  , mInstances{ Fresh(aOptions.mSettings, "a", 1),
                Fresh(aOptions.mSettings, "b", 1) }
{
}

std::string
record_simulation::StateKey() const
{
  std::string out;
  const auto add = [&out](auto aNumber) {
    out += std::to_string(aNumber);
    out += ',';
  };
  for (const simulated_instance& one : mInstances) {
    const simulated_call& call = one.mCall;
    out += one.mKeeper.Describe();
    add(one.mSelf.mNumber);
    add(static_cast<int>(call.mStage));
    add(call.mRead.mRevision);
    out += call.mRead.mValue;
    add(call.mCas.mExpectedRevision);
    out += call.mCas.mValue;
    add(static_cast<int>(call.mCasResult.mOutcome));
    add(call.mCasResult.mRevision);
    add(one.mPendingSend);
    add(one.mWakeAt ? one.mWakeAt->time_since_epoch().count() : -1);
    if (one.mPermit) {
      add(one.mPermit->mExpiresAt.time_since_epoch().count());
      add(one.mPermitSend);
    }
    out += '\n';
  }
  for (const cas_request& late : mLateWrites) {
    add(late.mExpectedRevision);
    out += late.mValue;
  }
  out += '\n';
  for (const int send : mInFlight) {
    add(send);
  }
  out += '\n' + mValue + mViolation;
  for (const int number : { static_cast<int>(mTime),
                            mSends,
                            mSendsAtNotRun,
                            mExecutions,
                            mOtherOffered ? 1 : 0,
                            mOptions.mLostAnswers,
                            mOptions.mLateWrites,
                            mOptions.mRestarts,
                            mOptions.mRefusals }) {
    add(number);
  }
  add(mRevision);
  return out;
}

clock_reading
record_simulation::Clock() const
{
  return { model::instant(kTimes[mTime]), model::wall_instant(kTimes[mTime]) };
}

void
record_simulation::Check(bool aTrue, const char* aFault)
{
  if (!aTrue && mViolation.empty()) {
    mViolation = aFault;
  }
}

void
record_simulation::VisitStep(
  const std::function<void(record_simulation)>& aVisit,
  const step& aStep) const
{
  record_simulation next = *this;
  aStep(next);
  aVisit(std::move(next));
}

void
record_simulation::ForEachStep(
  const std::function<void(record_simulation)>& aVisit) const
{
  if (mTime + 1 < kTimes.size()) {
    VisitStep(aVisit, [](record_simulation& aWorld) { ++aWorld.mTime; });
  }
  for (std::size_t who = 0; who < mInstances.size(); ++who) {
    // The instances are alike, so the first send may as well go to the first.
    const bool mirrored = mSends == 0 && who > 0;
    if (mSends < mOptions.mSends && !mirrored) {
      VisitStep(aVisit, [=](record_simulation& aWorld) {
        aWorld.Offer(who, kStudied);
      });
    }
    if (!mOtherOffered && mTime >= kPruningTime) {
      VisitStep(aVisit,
                [=](record_simulation& aWorld) { aWorld.Offer(who, kOther); });
    }
    if (mOptions.mRestarts > 0) {
      VisitStep(aVisit,
                [=](record_simulation& aWorld) { aWorld.Restart(who); });
    }
    const auto& wake = mInstances[who].mWakeAt;
    if (wake && Clock().mNow >= *wake) {
      VisitStep(aVisit, [=](record_simulation& aWorld) {
        const auto effects =
          aWorld.mInstances[who].mKeeper.OnTimer(aWorld.Clock());
        aWorld.Apply(who, effects);
      });
    }
    PlatformSteps(aVisit, who);
    SendSteps(aVisit, who);
  }
  LateWriteSteps(aVisit);
}

void
record_simulation::PlatformSteps(
  const std::function<void(record_simulation)>& aVisit,
  std::size_t aWho) const
{
  const stage now = mInstances[aWho].mCall.mStage;
  const bool mayLose = mOptions.mLostAnswers > 0;
  if (now == stage::ReadAsked) {
    VisitStep(aVisit, [=](record_simulation& aWorld) {
      simulated_call& call = aWorld.mInstances[aWho].mCall;
      call.mRead = { true, aWorld.mRevision, aWorld.mValue };
      call.mStage = stage::ReadDone;
    });
  }
  if (now == stage::WriteAsked) {
    VisitStep(aVisit, [=](record_simulation& aWorld) {
      simulated_call& call = aWorld.mInstances[aWho].mCall;
      aWorld.Store(call.mCas, call.mCasResult);
      call.mStage = stage::WriteDone;
    });
    if (mOptions.mLateWrites > 0) {
      VisitStep(aVisit, [=](record_simulation& aWorld) {
        --aWorld.mOptions.mLateWrites;
        const simulated_call call =
          std::exchange(aWorld.mInstances[aWho].mCall, {});
        aWorld.mLateWrites.push_back(call.mCas);
        const auto effects = aWorld.mInstances[aWho].mKeeper.OnCas(
          { cas_outcome::Ambiguous, 0 }, aWorld.Clock());
        aWorld.Apply(aWho, effects);
      });
    }
  }
  if (now == stage::ReadDone) {
    for (const bool lost : { false, true }) {
      if (lost && !mayLose) {
        continue;
      }
      VisitStep(aVisit, [=](record_simulation& aWorld) {
        aWorld.mOptions.mLostAnswers -= lost ? 1 : 0;
        const simulated_call call =
          std::exchange(aWorld.mInstances[aWho].mCall, {});
        const auto effects = aWorld.mInstances[aWho].mKeeper.OnRead(
          lost ? read_result() : call.mRead, aWorld.Clock());
        aWorld.Apply(aWho, effects);
      });
    }
  }
  if (now == stage::WriteDone) {
    for (const bool lost : { false, true }) {
      if (lost && !mayLose) {
        continue;
      }
      VisitStep(aVisit, [=](record_simulation& aWorld) {
        aWorld.mOptions.mLostAnswers -= lost ? 1 : 0;
        const simulated_call call =
          std::exchange(aWorld.mInstances[aWho].mCall, {});
        const auto effects = aWorld.mInstances[aWho].mKeeper.OnCas(
          lost ? cas_result() : call.mCasResult, aWorld.Clock());
        aWorld.Apply(aWho, effects);
      });
    }
  }
}

void
record_simulation::SendSteps(
  const std::function<void(record_simulation)>& aVisit,
  std::size_t aWho) const
{
  const simulated_instance& one = mInstances[aWho];
  if (!one.mPermit) {
    return;
  }
  const auto withhold = [=](record_simulation& aWorld) {
    aWorld.mInstances[aWho].mPermit.reset();
    aWorld.mInstances[aWho].mKeeper.ReleaseDispatch(kStudied);
    aWorld.ReportNotRun();
  };
  if (!MaySend(*one.mPermit, Clock())) {
    VisitStep(aVisit, withhold);
    return;
  }
  VisitStep(aVisit, [=](record_simulation& aWorld) {
    aWorld.mInFlight.push_back(aWorld.mInstances[aWho].mPermitSend);
    aWorld.mInstances[aWho].mPermit.reset();
  });
  if (mOptions.mRefusals > 0) {
    VisitStep(aVisit, [=](record_simulation& aWorld) {
      --aWorld.mOptions.mRefusals;
      withhold(aWorld);
    });
  }
}

void
record_simulation::LateWriteSteps(
  const std::function<void(record_simulation)>& aVisit) const
{
  if (!mLateWrites.empty()) {
    for (const bool lands : { false, true }) {
      VisitStep(aVisit, [=](record_simulation& aWorld) {
        cas_result ignored;
        if (lands) {
          aWorld.Store(aWorld.mLateWrites.front(), ignored);
        }
        aWorld.mLateWrites.erase(aWorld.mLateWrites.begin());
      });
    }
  }
  if (!mInFlight.empty()) {
    VisitStep(aVisit, [](record_simulation& aWorld) { aWorld.Execute(); });
  }
}

void
record_simulation::Execute()
{
  Check(mInFlight.front() >= mSendsAtNotRun, "ran after it was told not run");
  mInFlight.erase(mInFlight.begin());
  ++mExecutions;
  Check(mExecutions <= 1, "ran twice");
}

void
record_simulation::Store(const cas_request& aCall, cas_result& aResult)
{
  if (aCall.mExpectedRevision != mRevision) {
    aResult = { cas_outcome::Conflict, mRevision };
    return;
  }
  ++mRevision;
  mValue = aCall.mValue;
  aResult = { cas_outcome::Stored, mRevision };
}

void
record_simulation::Offer(std::size_t aWho, const request_hash& aRequest)
{
  simulated_instance& one = mInstances[aWho];
  const bool studied = aRequest == kStudied;
  mOtherOffered = mOtherOffered || !studied;
  if (studied) {
    // The caller keeps the issue time, zero, when it sends again.
    one.mPendingSend = one.mPendingSend < 0 ? mSends : one.mPendingSend;
    ++mSends;
  }
  const auto issued = studied ? model::wall_instant() : Clock().mWall;
  const auto effects =
    one.mKeeper.Offer({ aRequest, issued, model::instant::max() }, Clock());
  Apply(aWho, effects);
}

void
record_simulation::Apply(std::size_t aWho, const record_effects& aEffects)
{
  simulated_instance& one = mInstances[aWho];
  one.mWakeAt = aEffects.mWakeAt;
  for (const verdict& out : aEffects.mVerdicts) {
    if (out.mRequest == kStudied) {
      HandleVerdict(aWho, out);
    }
  }
  const bool idle = one.mCall.mStage == stage::None;
  if (aEffects.mReadBucket) {
    Check(idle, "two platform calls at once");
    one.mCall.mStage = stage::ReadAsked;
  }
  if (aEffects.mCas) {
    Check(idle && !aEffects.mReadBucket, "two platform calls at once");
    one.mCall.mStage = stage::WriteAsked;
    one.mCall.mCas = *aEffects.mCas;
  }
}

bool
record_simulation::IsOpen(std::size_t aWho) const
{
  const simulated_instance& one = mInstances[aWho];
  return one.mKeeper.PendingCount() > 0 || one.mPermit || !mInFlight.empty() ||
         mExecutions > 0;
}

void
record_simulation::HandleVerdict(std::size_t aWho, const verdict& aVerdict)
{
  simulated_instance& one = mInstances[aWho];
  switch (aVerdict.mKind) {
    case verdict_kind::Dispatch:
      Check(!one.mPermit, "two permits at one instance");
      one.mPermit = aVerdict.mPermit;
      one.mPermitSend = one.mPendingSend;
      ++mRecorded;
      break;
    case verdict_kind::OwnedHere:
      // A send that joins another one leaves that one pending.
      Check(IsOpen(aWho), "joined nothing");
      if (one.mKeeper.PendingCount() > 0) {
        return;
      }
      break;
    case verdict_kind::OwnedElsewhere:
      Check(aVerdict.mOwner != one.mSelf, "sent to itself");
      break;
    case verdict_kind::NotRun:
      ReportNotRun();
      break;
    case verdict_kind::Unproven:
      if (mSends == 1) {
        ReportNotRun();
      }
      break;
  }
  one.mPendingSend = -1;
}

void
record_simulation::ReportNotRun()
{
  Check(mExecutions == 0, "told not run, but it ran");
  Check(mInFlight.empty(), "told not run, but it is on its way");
  mSendsAtNotRun = mSends;
}

void
record_simulation::Restart(std::size_t aWho)
{
  --mOptions.mRestarts;
  simulated_instance& one = mInstances[aWho];
  if (one.mCall.mStage == stage::WriteAsked) {
    mLateWrites.push_back(one.mCall.mCas);
  }
  const std::string name = one.mSelf.mInstance.Value();
  one = Fresh(mOptions.mSettings, name.c_str(), one.mSelf.mNumber + 1);
}

} // namespace monsooncroft::once
