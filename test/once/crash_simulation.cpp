/**
 * @file crash_simulation.cpp
 * Steps of the crash simulation.
 */
#include "once/crash_simulation.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::once {

namespace {

constexpr std::size_t kInstances = 3;
constexpr std::size_t kLeaves = 6;
constexpr std::size_t kSlots = 2;
constexpr std::size_t kHome = 0; ///< Home instance of every key.
const content_hash kCrashing{ 1, 1 };
const model::service_id kService("s");
const model::wall_instant kWall;

} // namespace

crash_simulation::crash_simulation(const crash_simulation_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mLeaves(kLeaves)
{
  quarantine_settings settings;
  settings.mScreening = aOptions.mScreening;
  mQuarantines.assign(kInstances, quarantine(settings));
  for (int i = 0; i < aOptions.mCrashers + aOptions.mHarmless; ++i) {
    job next;
    next.mCrashesLeaf = i < aOptions.mCrashers;
    next.mSendsLeft = aOptions.mSends;
    const auto number = static_cast<std::uint64_t>(i);
    const bool sharesContent = next.mCrashesLeaf && !aOptions.mDistinctCrashers;
    next.mContent = sharesContent ? kCrashing : content_hash{ 2, number };
    next.mInstance = Pick(kInstances);
    mJobs.push_back(next);
  }
}

std::size_t
crash_simulation::Pick(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
}

crash_simulation_result
crash_simulation::Run()
{
  const auto unfinished = [](const job& aJob) {
    return aJob.mStage != stage::Done;
  };
  while (std::any_of(mJobs.begin(), mJobs.end(), unfinished)) {
    StepJob(Pick(mJobs.size()));
    if (!mUndistributedMarks.empty() && Pick(20) == 0) {
      for (const crash_mark& mark : mUndistributedMarks) {
        DistributeMark(mark);
      }
      mUndistributedMarks.clear();
    }
  }
  return mResult;
}

void
crash_simulation::StepJob(std::size_t aJob)
{
  job& next = mJobs[aJob];
  switch (next.mStage) {
    case stage::Ready:
      Start(next, aJob);
      break;
    case stage::HasTurn:
      TakeTurn(next, aJob);
      break;
    case stage::Running:
      Finish(next, aJob);
      break;
    case stage::Waiting:
    case stage::Done:
      break;
  }
}

void
crash_simulation::Start(job& aJob, std::size_t aNumber)
{
  const screening_permit permit =
    mQuarantines[aJob.mInstance].Admit(aJob.mContent, kService, kWall);
  switch (permit) {
    case screening_permit::Unrestricted:
      PlaceOnLeaf(aJob, aNumber, false);
      break;
    case screening_permit::Refused:
      Refuse(aJob);
      break;
    case screening_permit::FirstShardAlone:
    case screening_permit::Isolated:
      Enqueue(aJob, aNumber, permit);
      break;
  }
}

void
crash_simulation::Enqueue(job& aJob,
                          std::size_t aNumber,
                          screening_permit aPermit)
{
  aJob.mKey = ScreeningKey(aPermit, aJob.mContent, kService);
  aJob.mInstance = kHome;
  const auto entry = mQueue.Enqueue(aJob.mKey, aNumber, model::instant::max());
  aJob.mStage =
    entry == enqueue_result::Proceed ? stage::HasTurn : stage::Waiting;
}

void
crash_simulation::TakeTurn(job& aJob, std::size_t aNumber)
{
  const screening_permit permit =
    mQuarantines[kHome].Admit(aJob.mContent, kService, kWall);
  if (permit == screening_permit::Refused) {
    ReleaseTurn(aJob);
    Refuse(aJob);
    return;
  }
  if (permit != screening_permit::Unrestricted &&
      ScreeningKey(permit, aJob.mContent, kService) != aJob.mKey) {
    // The request has become a suspect while it waited.
    ReleaseTurn(aJob);
    Enqueue(aJob, aNumber, permit);
    return;
  }
  PlaceOnLeaf(aJob, aNumber, permit == screening_permit::Isolated);
}

void
crash_simulation::ReleaseTurn(job& aJob)
{
  if (aJob.mKey.empty()) {
    return;
  }
  if (const auto next = mQueue.ReleaseTurn(aJob.mKey)) {
    mJobs[*next].mStage = stage::HasTurn;
  }
  aJob.mKey.clear();
}

bool
crash_simulation::PlaceOnLeaf(job& aJob, std::size_t aNumber, bool aAlone)
{
  aJob.mLeaf = Pick(kLeaves);
  fake_leaf& chosen = mLeaves[aJob.mLeaf];
  const std::size_t capacity = aAlone ? 1 : kSlots;
  if (chosen.mReserved || chosen.mJobs.size() >= capacity) {
    return false;
  }
  chosen.mJobs.push_back(aNumber);
  chosen.mReserved = aAlone;
  aJob.mAlone = aAlone;
  aJob.mStage = stage::Running;
  return true;
}

void
crash_simulation::Finish(job& aJob, std::size_t aNumber)
{
  if (aJob.mCrashesLeaf) {
    CrashLeaf(aJob.mLeaf);
    return;
  }
  fake_leaf& leaf = mLeaves[aJob.mLeaf];
  std::erase(leaf.mJobs, aNumber);
  leaf.mReserved = false;
  const auto cleared =
    mQuarantines[aJob.mInstance].OnAnswered(aJob.mContent, aJob.mAlone, kWall);
  for (const crash_mark& mark : cleared) {
    DistributeMark(mark);
  }
  ReleaseTurn(aJob);
  aJob.mStage = stage::Done;
  ++mResult.mAnswered;
}

void
crash_simulation::CrashLeaf(std::size_t aLeaf)
{
  fake_leaf& leaf = mLeaves[aLeaf];
  const auto crash = HashCrash(model::leaf_id(std::to_string(aLeaf)),
                               std::to_string(leaf.mBootId));
  ++leaf.mBootId;
  ++mResult.mCrashes;
  leaf.mReserved = false;
  const auto jobs = std::exchange(leaf.mJobs, {});
  for (const std::size_t number : jobs) {
    const job& affected = mJobs[number];
    const auto mark = mQuarantines[affected.mInstance].ConfirmSuspicion(
      { affected.mContent, crash, kService }, kWall);
    if (mOptions.mMarksBeforeAnswer) {
      DistributeMark(mark);
    } else {
      mUndistributedMarks.push_back(mark);
    }
  }
  for (const std::size_t number : jobs) {
    ReleaseTurn(mJobs[number]);
    SendAgain(mJobs[number]);
  }
}

void
crash_simulation::SendAgain(job& aJob)
{
  const bool ends = aJob.mCrashesLeaf && --aJob.mSendsLeft <= 0;
  aJob.mStage = ends ? stage::Done : stage::Ready;
  aJob.mInstance = Pick(kInstances);
}

void
crash_simulation::Refuse(job& aJob)
{
  if (aJob.mCrashesLeaf) {
    SendAgain(aJob);
    return;
  }
  aJob.mStage = stage::Done;
  ++mResult.mRefused;
}

void
crash_simulation::DistributeMark(const crash_mark& aMark)
{
  for (quarantine& instanceQuarantine : mQuarantines) {
    instanceQuarantine.Merge(aMark, kWall);
  }
}

} // namespace monsooncroft::once
