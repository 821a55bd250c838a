/**
 * @file change_world.cpp
 * Commands against the store, then the spread over the instances.
 */
#include "matrix/change_world.h"

#include "store/head_json_func.h"

#include <algorithm>

namespace monsooncroft::test {

using store::store_fault;

namespace {

constexpr auto kFaultLasts = 20s;
constexpr auto kWithinSeconds = 15s; ///< After the fault is over.
constexpr int kOutageCalls = 1000;   ///< More than any command makes.
const std::string kVictim = "dc0-0";

store::apply_request
Request(const std::string& aChange, bool aRepeated)
{
  model::workspace tenant;
  tenant.mId = model::workspace_id("tenant-" + aChange);
  auto out = store::apply_request::Of(model::manifest(0, { tenant }, {}),
                                      store::change_id(aChange));
  out.mRepeated = aRepeated;
  return out;
}

} // namespace

change_world::change_world(std::optional<fault> aFault,
                           step aStep,
                           unsigned aSeed)
  : mFault(aFault)
  , mStep(aStep)
  , mSeed(aSeed)
  , mNetwork(aSeed)
{
}

void
change_world::Run()
{
  const step studied = std::exchange(mStep, step::End);
  Finish(Add("before", false));
  Publish();
  mNetwork.AddMany(3, 3);
  mNetwork.Run(10s);
  mStep = studied;
  Add("a", false);
  RunCommands();
  if (mStep == step::Apply) {
    mNetwork.RunUntil(
      [&] {
        return std::any_of(mNetwork.mInstances.begin(),
                           mNetwork.mInstances.end(),
                           [&](const auto& aOne) {
                             return aOne.second.mCore->Manifests().Version() ==
                                    mPublished;
                           });
      },
      10s);
  }
  if (mStep == step::Spread || mStep == step::Apply) {
    mReached = true;
    DisturbNetwork();
  }
  mNetwork.Run(kFaultLasts);
  if (mFault == fault::StoreDown && mStep == step::Apply) {
    mEvidence.mInForceEverywhere = Newest(); // Peers have it.
  }
  Heal();
  mNetwork.RunUntil([&] { return Newest(); }, kWithinSeconds);
  mEvidence.mInForceEverywhere = mEvidence.mInForceEverywhere && Newest();
  for (const auto& [id, instance] : mNetwork.mInstances) {
    mEvidence.mAdopted[id] = instance.mAdopted;
  }
  for (const std::string& text : mStore.Values(store::kHeadKey)) {
    mEvidence.mHeads.push_back(store::ParseHead(text).value());
  }
  for (const command& each : mCommands) {
    const bool over = !each.mMachine.Next();
    mEvidence.mChanges.push_back(
      { each.mChange,
        over ? std::optional(each.mMachine.Verdict()) : std::nullopt });
  }
}

change_world::command&
change_world::Add(const std::string& aChange, bool aRepeated)
{
  const auto request = Request(aChange, aRepeated);
  mCommands.push_back({ store::apply_machine(request), request.mChange, true });
  return mCommands.back();
}

void
change_world::RunCommands()
{
  bool busy = true;
  while (busy) {
    busy = false;
    for (command& each : mCommands) {
      if (each.mAlive && each.mMachine.Next()) {
        Advance(each);
        busy = true;
      }
    }
    Publish();
    mNetwork.Run(50ms);
  }
  while (mStore.Delayed() > 0) {
    mStore.Land(0);
  }
  Publish();
}

void
change_world::Finish(command& aCommand)
{
  while (aCommand.mAlive && aCommand.mMachine.Next()) {
    Advance(aCommand);
  }
}

void
change_world::Advance(command& aCommand)
{
  const store::store_call call = *aCommand.mMachine.Next();
  const store_fault fault = OnCall(aCommand);
  if (const auto* get = std::get_if<store::get_call>(&call)) {
    aCommand.mMachine.OnRead(mStore.Get(get->mKey, fault));
  } else if (const auto* swap = std::get_if<store::swap_call>(&call)) {
    const auto end =
      mStore.Swap(swap->mKey, swap->mExpect, swap->mValue, fault);
    if (aCommand.mAlive) {
      aCommand.mMachine.OnWrite(end);
    }
  } else {
    const auto& removal = std::get<store::delete_call>(call);
    aCommand.mMachine.OnWrite(
      mStore.Delete(removal.mKey, removal.mExpect, fault));
  }
}

/** How the present call of a command ends; disturbs it at the step. */
store::store_fault
change_world::OnCall(command& aCommand)
{
  const store::store_call call = *aCommand.mMachine.Next();
  const auto* swap = std::get_if<store::swap_call>(&call);
  const bool head = swap != nullptr && swap->mKey == store::kHeadKey;
  const bool here =
    swap != nullptr && mStep == (head ? step::Head : step::Chunks);
  if (here && !mReached) {
    mReached = true;
    if (mFault) {
      DisturbCommand(aCommand);
    }
  }
  const bool down = mDownCalls > 0;
  mDownCalls -= down ? 1 : 0;
  const store_fault present = std::exchange(mNextCall, store_fault::None);
  return present == store_fault::None && down ? store_fault::Unavailable
                                              : present;
}

void
change_world::DisturbCommand(command& aCommand)
{
  const bool carriedOut = mSeed % 2 == 0;
  const store_fault unclear =
    carriedOut ? store_fault::AnswerLost : store_fault::RequestLost;
  switch (*mFault) {
    case fault::StoreDown:
      mDownCalls = kOutageCalls;
      mNetwork.mPlatform.mUp = false;
      break;
    case fault::StoreSlow:
      mNextCall = store_fault::Delayed;
      mNetwork.mPlatform.mDelay = 3s;
      break;
    case fault::AnswerLost:
      mNextCall = store_fault::AnswerLost;
      break;
    case fault::PausedHolder:
      Finish(Add("b", false)); // While the first one sleeps.
      break;
    case fault::RacingOperators:
      Add("b", false); // From now on in turns.
      break;
    case fault::SilentConnection:
      mNextCall = unclear;
      mNetwork.mPlatform.mWatchFires = false;
      break;
    case fault::DataCentreCut:
      mNextCall = unclear;
      mDownCalls = 3;
      DisturbNetwork();
      break;
    case fault::InstanceKilled:
    case fault::InstanceReplaced:
      aCommand.mAlive = false;
      mNextCall = unclear;
      if (*mFault == fault::InstanceReplaced) {
        Add("a", true);
      }
      break;
    default:
      break;
  }
}

void
change_world::DisturbNetwork()
{
  if (!mFault) {
    return;
  }
  switch (*mFault) {
    case fault::StoreDown:
      mNetwork.mPlatform.mUp = false;
      break;
    case fault::StoreSlow:
      mNetwork.mPlatform.mDelay = 3s;
      break;
    case fault::PausedHolder:
      mNetwork.mInstances.at(kVictim).mPausedUntil = mNetwork.Now().mNow + 10s;
      break;
    case fault::RacingOperators:
      Finish(Add("b", false));
      Publish();
      break;
    case fault::SilentConnection:
      mNetwork.mPlatform.mWatchFires = false;
      break;
    case fault::DataCentreCut:
      mNetwork.mPlatform.mUnreachableFrom.insert(model::data_centre_id("dc0"));
      mNetwork.Partition([](const auto& aFrom, const auto& aTo) {
        return (aFrom.mDataCentre.Value() == "dc0") !=
               (aTo.mDataCentre.Value() == "dc0");
      });
      break;
    case fault::InstanceKilled:
      mNetwork.Kill(kVictim);
      break;
    case fault::InstanceReplaced:
      Replace(kVictim);
      break;
    default:
      break;
  }
}

void
change_world::Replace(const std::string& aId)
{
  const fake_instance& before = mNetwork.mInstances.at(aId);
  const auto self = before.mSelf;
  mEvidence.mAdopted[aId + " before"] = before.mAdopted;
  mNetwork.Kill(aId);
  mNetwork.Run(500ms);
  mNetwork.Add(aId, self.mDataCentre.Value(), self.mPeer.mPort);
  mNetwork.PublishInstanceList();
}

void
change_world::Heal()
{
  mNetwork.mPlatform.mUp = true;
  mNetwork.mPlatform.mDelay = 5ms;
  mNetwork.mPlatform.mUnreachableFrom.clear();
  mNetwork.Partition([](const auto&, const auto&) { return false; });
}

void
change_world::Publish()
{
  const auto heads = mStore.Values(store::kHeadKey);
  if (heads.empty()) {
    return;
  }
  const auto newest = store::ParseHead(heads.back()).value().mVersion;
  if (newest != mPublished) {
    mPublished = newest;
    mNetwork.mPlatform.Apply(newest);
  }
}

bool
change_world::Newest() const
{
  return mNetwork.AllInForce(mPublished);
}

} // namespace monsooncroft::test
