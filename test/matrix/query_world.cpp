/**
 * @file query_world.cpp
 * Time, faults, callers and the platform.
 */
#include "matrix/query_world.h"

#include "matrix/query_run_type.h"

#include <algorithm>

namespace monsooncroft::test {

using namespace std::chrono_literals;

namespace {

constexpr model::duration kPause = 400ms;     ///< Longer than any permit.
constexpr model::duration kSlowStore = 700ms; ///< For each call.
constexpr model::duration kStoreTimeout = 300ms;
constexpr model::duration kReplacedAfter = 50ms;
constexpr std::size_t kMostCalls = 4;
constexpr auto kStudied = "q1";

model::manifest_ptr
Manifest(model::manifest_version aVersion)
{
  model::service service;
  service.mId = model::service_id("annex");
  const std::vector<std::vector<std::string>> replicas{ { "n0a", "n0b", "f0" },
                                                        { "n1a", "n1b", "f1" },
                                                        { "f2a", "f2b" } };
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    model::shard shard;
    shard.mId = model::shard_id("s" + std::to_string(i));
    const std::string name = "quarter" + std::to_string(i);
    shard.mCoverageNames.emplace_back(aVersion == 1 ? name : "new_" + name);
    for (const std::string& leaf : replicas[i]) {
      shard.mReplicas.emplace_back(leaf);
    }
    service.mShards.push_back(shard);
  }
  model::contract contract;
  contract.mLeastCoverage = 0.5;
  service.mContracts = { contract };
  return std::make_shared<model::manifest>(
    aVersion, std::vector<model::workspace>(), std::vector{ service });
}

} // namespace

query_world::query_world(const query_cell& aCell)
  : mCell(aCell)
  , mRandom(aCell.mSeed)
  , mRootHedge(60ms)
  , mOwnerHedge(20ms)
{
  mEvidence.mManifests = { Manifest(1), Manifest(2) };
  for (const model::shard& shard :
       mEvidence.mManifests[0]->Services()[0].mShards) {
    for (const model::leaf_id& leaf : shard.mReplicas) {
      fake_leaf& made = mLeaves[leaf.Value()];
      made.mService = 1ms + model::duration(mRandom() % 4000);
      mView.OnHeldVersions(shard.mId, leaf, { 7 }, mNow);
    }
  }
  for (const bool near : { true, true, false, false }) {
    world_entry& entry = mEntries.emplace_back();
    entry.mName = "i" + std::to_string(mEntries.size() - 1);
    entry.mNear = near;
    Start(entry);
  }
}

void
query_world::Run()
{
  Call("q2", true, 0); // A bystander, through the same instances.
  Call(kStudied, mCell.mIdempotent, 0);
  if (mCell.mSeed % 2 == 1) {
    After(3ms, [this] { Call(kStudied, mCell.mIdempotent, 1); });
  }
  while (!mEvents.empty()) {
    const auto next = mEvents.begin();
    mNow = next->first.first;
    const task now = std::move(next->second);
    mEvents.erase(next);
    now();
  }
}

void
query_world::After(model::duration aDelay, task aTask)
{
  const model::instant at = mNow + std::max(aDelay, model::duration(0));
  mEvents.emplace(std::pair(at, mOrder++), std::move(aTask));
}

void
query_world::In(world_entry& aWho, model::duration aDelay, const task& aTask)
{
  const auto life = aWho.mLife;
  After(aDelay, [this, &aWho, life, aTask] { Deliver(aWho, life, aTask); });
}

void
query_world::Deliver(world_entry& aWho, std::uint64_t aLife, const task& aTask)
{
  if (!aWho.mUp || aWho.mLife != aLife) {
    return;
  }
  if (mNow < aWho.mPausedUntil) {
    In(aWho, aWho.mPausedUntil - mNow, aTask);
    return;
  }
  aTask();
}

once::clock_reading
query_world::Clock() const
{
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
    mNow.time_since_epoch());
  return { mNow, model::wall_instant(wall) };
}

void
query_world::Reach(step aStep,
                   const model::request_id& aRequest,
                   world_entry& aWho,
                   const std::string& aLeaf)
{
  if (aRequest.Value() != kStudied) {
    return;
  }
  if (aStep == mCell.mStep && !std::exchange(mReached, true) && mCell.mFault) {
    Inject(*mCell.mFault, aStep, aWho, aLeaf);
  }
  const bool second = mCell.mSecond && aStep == mCell.mSecondStep;
  if (second && !std::exchange(mSecondReached, true)) {
    Inject(*mCell.mSecond, aStep, aWho, aLeaf);
  }
}

void
query_world::Inject(fault aFault,
                    step aStep,
                    world_entry& aWho,
                    const std::string& aLeaf)
{
  switch (aFault) {
    case fault::Straggler:
      mLeaves[aLeaf].mService = 10s;
      break;
    case fault::ReplicaLost:
      Crash(aLeaf, false);
      break;
    case fault::Repartition:
      Reshard();
      break;
    case fault::StoreDown:
      mStore.mDown = true;
      break;
    case fault::StoreSlow:
      mStore.mDelay = kSlowStore;
      break;
    case fault::AnswerLost:
      mStore.mLoseNext = true;
      break;
    case fault::PausedHolder:
      aWho.mPausedUntil = mNow + kPause;
      for (const auto& [send, call] : mOpenCalls) {
        mEvidence.mSends[send].mDisturbed |= call.first == &aWho;
      }
      break;
    case fault::RacingOperators:
      mCurrent = 1;
      break;
    case fault::KillingRequest:
      mKilling = model::request_id(kStudied);
      break;
    case fault::SilentConnection:
      mCallerSilent = aStep == step::Merge || aStep == step::Answer;
      for (world_entry& entry : mEntries) {
        entry.mWays.try_emplace(aLeaf, aLeaf).first->second.mSilent = true;
      }
      break;
    case fault::DataCentreCut:
      mCut = true;
      break;
    case fault::InstanceReplaced:
      After(kReplacedAfter, [this, &aWho] { Start(aWho); });
      [[fallthrough]];
    case fault::InstanceKilled:
      Kill(aWho);
      break;
    case fault::End:
      break;
  }
}

/** The first shard moves on to the next index version, one leaf of the second
 * leaves, and the manifest changes. */
void
query_world::Reshard()
{
  for (const char* leaf : { "n0a", "n0b", "f0" }) {
    mLeaves[leaf].mHolds = { 8 };
  }
  mCurrent = 1;
  const std::string leaving = "n1a";
  mLeaves[leaving].mLeaving = true;
  mDrains.OnInstanceList(model::leaf_id(leaving), true, mNow);
  for (world_entry& entry : mEntries) {
    const auto way = entry.mWays.find(leaving);
    if (way != entry.mWays.end()) {
      CarryWay(entry, leaving, way->second.mQueue.SetDraining(true));
    }
  }
}

void
query_world::Kill(world_entry& aWho)
{
  aWho.mUp = false;
  const auto calls = mOpenCalls;
  for (const auto& [send, call] : calls) {
    if (call.first == &aWho) {
      mEvidence.mSends[send].mDisturbed = true;
      After(1ms, call.second);
    }
  }
  const auto relays = mRelays;
  for (const relay_ptr& each : relays) {
    if (each->mOwner == &aWho) {
      FailRelay(each, model::attempt_outcome::Lost);
    }
  }
}

void
query_world::Start(world_entry& aWho)
{
  aWho.mUp = true;
  ++aWho.mLife;
  aWho.mKeeper = std::make_unique<once::record_keeper>(
    once::record_settings(),
    once::incarnation{ model::instance_id(aWho.mName), aWho.mLife });
  aWho.mMemory =
    std::make_unique<once::answer_cache>(once::answer_cache_settings());
  aWho.mQuarantine =
    std::make_unique<once::quarantine>(once::quarantine_settings());
  aWho.mWays.clear();
  aWho.mVerdicts.clear();
  aWho.mJoined.clear();
}

void
query_world::Crash(const std::string& aLeaf, bool aComesBack)
{
  fake_leaf& leaf = mLeaves[aLeaf];
  leaf.mUp = false;
  ++leaf.mBoot;
  for (const task& each : std::exchange(leaf.mOnCrash, {})) {
    each();
  }
  if (aComesBack) {
    After(30ms, [this, &leaf, aLeaf] {
      leaf.mUp = true;
      // It was marked as refusing, so each owner probes it before it is used.
      for (world_entry& entry : mEntries) {
        leaf_way& way = entry.mWays.try_emplace(aLeaf, aLeaf).first->second;
        Settle(entry, way.mDeaths.OnBootId(std::to_string(leaf.mBoot)));
      }
    });
  }
}

bool
query_world::Cut(const world_entry& aFrom, const world_entry& aTo) const
{
  return mCut && aFrom.mNear != aTo.mNear;
}

void
query_world::Call(const std::string& aRequest,
                  bool aIdempotent,
                  std::size_t aTurn)
{
  const std::size_t send = mEvidence.mSends.size();
  auto& entry = *std::next(
    mEntries.begin(), static_cast<std::ptrdiff_t>(aTurn % mEntries.size()));
  const auto run = std::make_shared<query_run>();
  run->mSend = send;
  run->mRoot = &entry;
  run->mRequest = model::request_id(aRequest);
  run->mQuery.mRequest = run->mRequest;
  run->mQuery.mService = model::service_id("annex");
  run->mQuery.mBody = aRequest;
  run->mIdempotent = aIdempotent;
  run->mDeadline = mNow + kDeadline;
  mEvidence.mSends.push_back(
    { run->mRequest, aIdempotent, mNow, run->mDeadline, false, {} });
  if (!entry.mUp) {
    mEvidence.mSends[send].mDisturbed = true;
    After(1ms, [=, this] { CallAgain(send, aTurn); });
    return;
  }
  mEvidence.mSends[send].mDisturbed = mNow < entry.mPausedUntil;
  mOpenCalls[send] = { &entry, [=, this] { CallAgain(send, aTurn); } };
  After(kDeadline + 20ms, mOpenCalls[send].second);
  const reply done = [=, this](const model::answer& aAnswer) {
    OnAnswer(send, aTurn, aAnswer);
  };
  Reach(step::Accept, run->mRequest, entry, "n0a");
  In(entry, 1ms, [=, this] {
    run->mDone = done;
    if (run->mIdempotent) {
      Begin(run);
    } else {
      RunOnce(run, done);
    }
  });
}

void
query_world::OnAnswer(std::size_t aSend,
                      std::size_t aTurn,
                      const model::answer& aAnswer)
{
  mEvidence.mSends[aSend].mAnswers.push_back({ mNow, aAnswer });
  if (mCallerSilent && mOpenCalls.count(aSend) != 0) {
    return; // The caller waits for an answer that does not come.
  }
  const bool awaited = mOpenCalls.erase(aSend) != 0;
  if (!awaited || aAnswer.mRequest.Value() != kStudied) {
    return;
  }
  mComplete = mComplete || aAnswer.mStatus == model::status::Complete;
  const bool insists = !mKilling.Empty();
  if (insists && aTurn + 1 < kMostCalls) {
    After(50ms, [=, this] { Call(kStudied, mCell.mIdempotent, aTurn + 1); });
  }
}

void
query_world::CallAgain(std::size_t aSend, std::size_t aTurn)
{
  if (mOpenCalls.erase(aSend) == 0 && mEvidence.mSends[aSend].mAnswers.size()) {
    return;
  }
  const sent_query sent = mEvidence.mSends[aSend];
  if (aTurn + 1 < kMostCalls) {
    mCallerSilent = false;
    Call(sent.mRequest.Value(), sent.mIdempotent, aTurn + 1);
  }
}

void
query_world::CarryRecord(world_entry& aWho,
                         const once::record_effects& aEffects)
{
  if (aEffects.mReadBucket) {
    Read(aWho);
  }
  if (aEffects.mCas) {
    Reach(step::Record, model::request_id(kStudied), aWho, "n0a");
    const auto call = *aEffects.mCas;
    In(aWho, 0ms, [=, this, &aWho] { Write(aWho, call); });
  }
  if (aEffects.mWakeAt) {
    In(aWho, *aEffects.mWakeAt - mNow, [this, &aWho] {
      CarryRecord(aWho, aWho.mKeeper->OnTimer(Clock()));
    });
  }
  for (const once::verdict& verdict : aEffects.mVerdicts) {
    for (const auto& done : std::exchange(aWho.mVerdicts, {})) {
      done(verdict);
    }
  }
}

void
query_world::Read(world_entry& aWho)
{
  const bool timeout = mStore.mDelay > kStoreTimeout;
  const bool down = mStore.mDown || timeout || (mCut && aWho.mNear);
  const once::read_result result =
    down ? once::read_result()
         : once::read_result{ true, mStore.mRevision, mStore.mValue };
  In(aWho, std::min(mStore.mDelay, kStoreTimeout), [=, this, &aWho] {
    CarryRecord(aWho, aWho.mKeeper->OnRead(result, Clock()));
  });
}

void
query_world::Write(world_entry& aWho, const once::cas_request& aCall)
{
  const bool timeout = mStore.mDelay > kStoreTimeout;
  auto result = std::make_shared<once::cas_result>();
  result->mOutcome = once::cas_outcome::NotApplied;
  if (!mStore.mDown && !(mCut && aWho.mNear)) {
    const bool lost = std::exchange(mStore.mLoseNext, false) || timeout;
    result->mOutcome = once::cas_outcome::Ambiguous;
    After(mStore.mDelay / 2, [=, this] {
      const bool fits = aCall.mExpectedRevision == mStore.mRevision;
      if (fits) {
        ++mStore.mRevision;
        mStore.mValue = aCall.mValue;
      }
      if (!lost) {
        result->mOutcome =
          fits ? once::cas_outcome::Stored : once::cas_outcome::Conflict;
        result->mRevision = mStore.mRevision;
      }
    });
  }
  In(aWho, std::min(mStore.mDelay, kStoreTimeout), [=, this, &aWho] {
    CarryRecord(aWho, aWho.mKeeper->OnCas(*result, Clock()));
  });
}

} // namespace monsooncroft::test
