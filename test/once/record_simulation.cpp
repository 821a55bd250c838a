/**
 * @file record_simulation.cpp
 * Steps of the record simulation.
 */
#include "once/record_simulation.h"

#include <utility>

namespace monsooncroft::once {

namespace {

using namespace std::chrono_literals;
using stage = simulated_call::stage;

constexpr auto kWindow = 1000ms;
/**
 * Start, a short pause, past the acceptance age, past the pruning age, past the
 * age at which dispatches are forgotten.
 */
constexpr std::array<std::chrono::milliseconds, 5>
  kTimes = { 0ms, 10ms, kWindow / 2 + 1ms, kWindow + 1ms, 2 * kWindow + 1ms };
constexpr std::size_t kPruningTime = 3; ///< Index into kTimes.
const request_hash kTrackedRequest{ 1, 1 };
const request_hash kOtherRequest{ 2, 2 };

simulated_instance
MakeInstance(const record_settings& aSettings,
             const char* aName,
             std::uint64_t aNumber)
{
  const incarnation self{ model::instance_id(aName), aNumber };
  return { record_keeper(aSettings, self), self, {}, {}, {}, 0, -1 };
}

} // namespace

record_simulation::record_simulation(const record_simulation_options& aOptions)
  : mOptions(aOptions)
  , mInstances{ MakeInstance(aOptions.mSettings, "a", 1),
                MakeInstance(aOptions.mSettings, "b", 1) }
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
  for (const simulated_instance& instance : mInstances) {
    const simulated_call& call = instance.mCall;
    out += instance.mKeeper.Describe();
    add(instance.mSelf.mNumber);
    add(static_cast<int>(call.mStage));
    add(call.mRead.mRevision);
    out += call.mRead.mValue;
    add(call.mCas.mExpectedRevision);
    out += call.mCas.mValue;
    add(static_cast<int>(call.mCasResult.mOutcome));
    add(call.mCasResult.mRevision);
    add(instance.mPendingSend);
    add(instance.mWakeAt ? instance.mWakeAt->time_since_epoch().count() : -1);
    if (instance.mPermit) {
      add(instance.mPermit->mExpiresAt.time_since_epoch().count());
      add(instance.mPermitSend);
    }
    out += '\n';
  }
  for (const cas_request& lateWrite : mLateWrites) {
    add(lateWrite.mExpectedRevision);
    out += lateWrite.mValue;
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
record_simulation::Check(bool aHolds, const char* aViolation)
{
  if (!aHolds && mViolation.empty()) {
    mViolation = aViolation;
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
    VisitStep(aVisit,
              [](record_simulation& aSimulation) { ++aSimulation.mTime; });
  }
  for (std::size_t index = 0; index < mInstances.size(); ++index) {
    // The instances are symmetric, so it is enough to try the first send at the
    // first one.
    const bool mirrored = mSends == 0 && index > 0;
    if (mSends < mOptions.mSends && !mirrored) {
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        aSimulation.Offer(index, kTrackedRequest);
      });
    }
    if (!mOtherOffered && mTime >= kPruningTime) {
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        aSimulation.Offer(index, kOtherRequest);
      });
    }
    if (mOptions.mRestarts > 0) {
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        aSimulation.Restart(index);
      });
    }
    const auto& wake = mInstances[index].mWakeAt;
    if (wake && Clock().mNow >= *wake) {
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        const auto effects =
          aSimulation.mInstances[index].mKeeper.OnTimer(aSimulation.Clock());
        aSimulation.Apply(index, effects);
      });
    }
    PlatformSteps(aVisit, index);
    SendSteps(aVisit, index);
  }
  LateWriteSteps(aVisit);
}

void
record_simulation::PlatformSteps(
  const std::function<void(record_simulation)>& aVisit,
  std::size_t aIndex) const
{
  const stage callStage = mInstances[aIndex].mCall.mStage;
  const bool mayLose = mOptions.mLostAnswers > 0;
  if (callStage == stage::ReadAsked) {
    VisitStep(aVisit, [=](record_simulation& aSimulation) {
      simulated_call& call = aSimulation.mInstances[aIndex].mCall;
      call.mRead = { true, aSimulation.mRevision, aSimulation.mValue };
      call.mStage = stage::ReadDone;
    });
  }
  if (callStage == stage::WriteAsked) {
    VisitStep(aVisit, [=](record_simulation& aSimulation) {
      simulated_call& call = aSimulation.mInstances[aIndex].mCall;
      aSimulation.Store(call.mCas, call.mCasResult);
      call.mStage = stage::WriteDone;
    });
    if (mOptions.mLateWrites > 0) {
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        --aSimulation.mOptions.mLateWrites;
        const simulated_call call =
          std::exchange(aSimulation.mInstances[aIndex].mCall, {});
        aSimulation.mLateWrites.push_back(call.mCas);
        const auto effects = aSimulation.mInstances[aIndex].mKeeper.OnCas(
          { cas_outcome::Ambiguous, 0 }, aSimulation.Clock());
        aSimulation.Apply(aIndex, effects);
      });
    }
  }
  if (callStage == stage::ReadDone) {
    for (const bool lost : { false, true }) {
      if (lost && !mayLose) {
        continue;
      }
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        aSimulation.mOptions.mLostAnswers -= lost ? 1 : 0;
        const simulated_call call =
          std::exchange(aSimulation.mInstances[aIndex].mCall, {});
        const auto effects = aSimulation.mInstances[aIndex].mKeeper.OnRead(
          lost ? read_result() : call.mRead, aSimulation.Clock());
        aSimulation.Apply(aIndex, effects);
      });
    }
  }
  if (callStage == stage::WriteDone) {
    for (const bool lost : { false, true }) {
      if (lost && !mayLose) {
        continue;
      }
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        aSimulation.mOptions.mLostAnswers -= lost ? 1 : 0;
        const simulated_call call =
          std::exchange(aSimulation.mInstances[aIndex].mCall, {});
        const auto effects = aSimulation.mInstances[aIndex].mKeeper.OnCas(
          lost ? cas_result() : call.mCasResult, aSimulation.Clock());
        aSimulation.Apply(aIndex, effects);
      });
    }
  }
}

void
record_simulation::SendSteps(
  const std::function<void(record_simulation)>& aVisit,
  std::size_t aIndex) const
{
  const simulated_instance& instance = mInstances[aIndex];
  if (!instance.mPermit) {
    return;
  }
  const auto reportNotRun = [=](record_simulation& aSimulation) {
    aSimulation.mInstances[aIndex].mPermit.reset();
    aSimulation.mInstances[aIndex].mKeeper.ReleaseDispatch(kTrackedRequest);
    aSimulation.ReportNotRun();
  };
  if (!MaySend(*instance.mPermit, Clock())) {
    VisitStep(aVisit, reportNotRun);
    return;
  }
  VisitStep(aVisit, [=](record_simulation& aSimulation) {
    aSimulation.mInFlight.push_back(aSimulation.mInstances[aIndex].mPermitSend);
    aSimulation.mInstances[aIndex].mPermit.reset();
  });
  if (mOptions.mRefusals > 0) {
    VisitStep(aVisit, [=](record_simulation& aSimulation) {
      --aSimulation.mOptions.mRefusals;
      reportNotRun(aSimulation);
    });
  }
}

void
record_simulation::LateWriteSteps(
  const std::function<void(record_simulation)>& aVisit) const
{
  if (!mLateWrites.empty()) {
    for (const bool takesEffect : { false, true }) {
      VisitStep(aVisit, [=](record_simulation& aSimulation) {
        cas_result ignored;
        if (takesEffect) {
          aSimulation.Store(aSimulation.mLateWrites.front(), ignored);
        }
        aSimulation.mLateWrites.erase(aSimulation.mLateWrites.begin());
      });
    }
  }
  if (!mInFlight.empty()) {
    VisitStep(aVisit,
              [](record_simulation& aSimulation) { aSimulation.Execute(); });
  }
}

void
record_simulation::Execute()
{
  Check(mInFlight.front() >= mSendsAtNotRun,
        "ran after it was reported as not run");
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
record_simulation::Offer(std::size_t aIndex, const request_hash& aRequest)
{
  simulated_instance& instance = mInstances[aIndex];
  const bool tracked = aRequest == kTrackedRequest;
  mOtherOffered = mOtherOffered || !tracked;
  if (tracked) {
    // The caller keeps the issue time, zero, when it sends the request again.
    instance.mPendingSend =
      instance.mPendingSend < 0 ? mSends : instance.mPendingSend;
    ++mSends;
  }
  const auto issued = tracked ? model::wall_instant() : Clock().mWall;
  const auto effects = instance.mKeeper.Offer(
    { aRequest, issued, model::instant::max() }, Clock());
  Apply(aIndex, effects);
}

void
record_simulation::Apply(std::size_t aIndex, const record_effects& aEffects)
{
  simulated_instance& instance = mInstances[aIndex];
  instance.mWakeAt = aEffects.mWakeAt;
  for (const verdict& out : aEffects.mVerdicts) {
    if (out.mRequest == kTrackedRequest) {
      HandleVerdict(aIndex, out);
    }
  }
  const bool idle = instance.mCall.mStage == stage::None;
  if (aEffects.mReadBucket) {
    Check(idle, "two platform calls at once");
    instance.mCall.mStage = stage::ReadAsked;
  }
  if (aEffects.mCas) {
    Check(idle && !aEffects.mReadBucket, "two platform calls at once");
    instance.mCall.mStage = stage::WriteAsked;
    instance.mCall.mCas = *aEffects.mCas;
  }
}

bool
record_simulation::IsOpen(std::size_t aIndex) const
{
  const simulated_instance& instance = mInstances[aIndex];
  return instance.mKeeper.PendingCount() > 0 || instance.mPermit ||
         !mInFlight.empty() || mExecutions > 0;
}

void
record_simulation::HandleVerdict(std::size_t aIndex, const verdict& aVerdict)
{
  simulated_instance& instance = mInstances[aIndex];
  switch (aVerdict.mKind) {
    case verdict_kind::Dispatch:
      Check(!instance.mPermit, "two permits at one instance");
      instance.mPermit = aVerdict.mPermit;
      instance.mPermitSend = instance.mPendingSend;
      ++mRecorded;
      break;
    case verdict_kind::OwnedHere:
      // A send that joins another send leaves that other send pending.
      Check(IsOpen(aIndex), "joined no other send");
      if (instance.mKeeper.PendingCount() > 0) {
        return;
      }
      break;
    case verdict_kind::OwnedElsewhere:
      Check(aVerdict.mOwner != instance.mSelf,
            "names its own instance as another owner");
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
  instance.mPendingSend = -1;
}

void
record_simulation::ReportNotRun()
{
  Check(mExecutions == 0, "reported as not run, but it ran");
  Check(mInFlight.empty(), "reported as not run, but it is in flight");
  mSendsAtNotRun = mSends;
}

void
record_simulation::Restart(std::size_t aIndex)
{
  --mOptions.mRestarts;
  simulated_instance& instance = mInstances[aIndex];
  if (instance.mCall.mStage == stage::WriteAsked) {
    mLateWrites.push_back(instance.mCall.mCas);
  }
  const std::string name = instance.mSelf.mInstance.Value();
  instance =
    MakeInstance(mOptions.mSettings, name.c_str(), instance.mSelf.mNumber + 1);
}

} // namespace monsooncroft::once
