/**
 * @file killing_fleet.cpp
 * Steps of the fleet.
 */
#include "once/killing_fleet.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::once {

namespace {

constexpr std::size_t kInstances = 3;
constexpr std::size_t kLeaves = 6;
constexpr std::size_t kSlots = 2;
constexpr std::size_t kHome = 0; ///< Of every key.
const content_hash kKilling{ 1, 1 };
const model::service_id kService("s");
const model::wall_instant kWall;

} // namespace

killing_fleet::killing_fleet(const fleet_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mLeaves(kLeaves)
{
  quarantine_settings settings;
  settings.mScreening = aOptions.mScreening;
  mTables.assign(kInstances, quarantine(settings));
  for (int i = 0; i < aOptions.mKillers + aOptions.mInnocents; ++i) {
    job next;
    next.mKills = i < aOptions.mKillers;
    next.mSendsLeft = aOptions.mSends;
    const auto number = static_cast<std::uint64_t>(i);
    const bool same = next.mKills && !aOptions.mDistinct;
    next.mContent = same ? kKilling : content_hash{ 2, number };
    next.mInstance = Pick(kInstances);
    mJobs.push_back(next);
  }
}

std::size_t
killing_fleet::Pick(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
}

fleet_end
killing_fleet::Run()
{
  const auto open = [](const job& aJob) { return aJob.mStage != stage::Done; };
  while (std::any_of(mJobs.begin(), mJobs.end(), open)) {
    Step(Pick(mJobs.size()));
    if (!mUnspread.empty() && Pick(20) == 0) {
      for (const death_mark& mark : mUnspread) {
        Spread(mark);
      }
      mUnspread.clear();
    }
  }
  return mEnd;
}

void
killing_fleet::Step(std::size_t aJob)
{
  job& next = mJobs[aJob];
  switch (next.mStage) {
    case stage::Ready:
      Start(next, aJob);
      break;
    case stage::Turn:
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
killing_fleet::Start(job& aJob, std::size_t aNumber)
{
  const passage way =
    mTables[aJob.mInstance].Admit(aJob.mContent, kService, kWall);
  switch (way) {
    case passage::Free:
      Place(aJob, aNumber, false);
      break;
    case passage::Refused:
      Refuse(aJob);
      break;
    case passage::FirstAlone:
    case passage::Isolated:
      Enter(aJob, aNumber, way);
      break;
  }
}

void
killing_fleet::Enter(job& aJob, std::size_t aNumber, passage aPassage)
{
  aJob.mKey = TrialKey(aPassage, aJob.mContent, kService);
  aJob.mInstance = kHome;
  const auto entry = mQueue.Enter(aJob.mKey, aNumber, model::instant::max());
  aJob.mStage = entry == trial_entry::Go ? stage::Turn : stage::Waiting;
}

void
killing_fleet::TakeTurn(job& aJob, std::size_t aNumber)
{
  const passage way = mTables[kHome].Admit(aJob.mContent, kService, kWall);
  if (way == passage::Refused) {
    Leave(aJob);
    Refuse(aJob);
    return;
  }
  if (way != passage::Free &&
      TrialKey(way, aJob.mContent, kService) != aJob.mKey) {
    // It has become a suspect while it waited.
    Leave(aJob);
    Enter(aJob, aNumber, way);
    return;
  }
  Place(aJob, aNumber, way == passage::Isolated);
}

void
killing_fleet::Leave(job& aJob)
{
  if (aJob.mKey.empty()) {
    return;
  }
  if (const auto next = mQueue.Leave(aJob.mKey)) {
    mJobs[*next].mStage = stage::Turn;
  }
  aJob.mKey.clear();
}

bool
killing_fleet::Place(job& aJob, std::size_t aNumber, bool aAlone)
{
  aJob.mLeaf = Pick(kLeaves);
  fake_leaf& chosen = mLeaves[aJob.mLeaf];
  const std::size_t room = aAlone ? 1 : kSlots;
  if (chosen.mReserved || chosen.mJobs.size() >= room) {
    return false;
  }
  chosen.mJobs.push_back(aNumber);
  chosen.mReserved = aAlone;
  aJob.mAlone = aAlone;
  aJob.mStage = stage::Running;
  return true;
}

void
killing_fleet::Finish(job& aJob, std::size_t aNumber)
{
  if (aJob.mKills) {
    Die(aJob.mLeaf);
    return;
  }
  fake_leaf& at = mLeaves[aJob.mLeaf];
  std::erase(at.mJobs, aNumber);
  at.mReserved = false;
  const auto cleared =
    mTables[aJob.mInstance].OnAnswered(aJob.mContent, aJob.mAlone, kWall);
  for (const death_mark& mark : cleared) {
    Spread(mark);
  }
  Leave(aJob);
  aJob.mStage = stage::Done;
  ++mEnd.mAnswered;
}

void
killing_fleet::Die(std::size_t aLeaf)
{
  fake_leaf& dead = mLeaves[aLeaf];
  const auto death = HashDeath(model::leaf_id(std::to_string(aLeaf)),
                               std::to_string(dead.mBoot));
  ++dead.mBoot;
  ++mEnd.mDeaths;
  dead.mReserved = false;
  const auto jobs = std::exchange(dead.mJobs, {});
  for (const std::size_t number : jobs) {
    const job& hit = mJobs[number];
    const auto mark =
      mTables[hit.mInstance].Confirm({ hit.mContent, death, kService }, kWall);
    if (mOptions.mSpreadFirst) {
      Spread(mark);
    } else {
      mUnspread.push_back(mark);
    }
  }
  for (const std::size_t number : jobs) {
    Leave(mJobs[number]);
    SendAgain(mJobs[number]);
  }
}

void
killing_fleet::SendAgain(job& aJob)
{
  const bool ends = aJob.mKills && --aJob.mSendsLeft <= 0;
  aJob.mStage = ends ? stage::Done : stage::Ready;
  aJob.mInstance = Pick(kInstances);
}

void
killing_fleet::Refuse(job& aJob)
{
  if (aJob.mKills) {
    SendAgain(aJob);
    return;
  }
  aJob.mStage = stage::Done;
  ++mEnd.mRefused;
}

void
killing_fleet::Spread(const death_mark& aMark)
{
  for (quarantine& table : mTables) {
    table.Merge(aMark, kWall);
  }
}

} // namespace monsooncroft::once
