/**
 * @file fake_network.cpp
 * The virtual clock, the network and the platform.
 */
#include "cluster/fake_network.h"

#include "cluster/rendezvous_func.h"

#include <sstream>

namespace monsooncroft::test {

namespace {

constexpr auto kTickPeriod = 100ms;
constexpr auto kWatchPollPeriod = 50ms;
constexpr auto kWatchTimeout = 20s;
constexpr auto kTcpRetransmitDelay = 200ms;
constexpr std::uint64_t kIpUdpHeaders = 28;
/** HTTP and TCP headers of a call and its reply. */
constexpr std::uint64_t kTcpCallHeaders = 500;

} // namespace

std::optional<cluster::manifest_head>
fake_format::ParseHead(const std::string& aText) const
{
  std::istringstream stream(aText);
  cluster::manifest_head head;
  head.mText = aText;
  if (!(stream >> head.mVersion)) {
    return std::nullopt;
  }
  std::string word;
  while (stream >> word) {
    const auto equals = word.find('=');
    head.mChunks.push_back({ word.substr(0, equals), word.substr(equals + 1) });
  }
  return head;
}

std::string
fake_format::Hash(const std::string& aText) const
{
  return std::to_string(cluster::HashOf(aText));
}

void
fake_platform::Apply(model::manifest_version aVersion)
{
  mHead = std::to_string(aVersion);
  for (const std::string name : { "routes", "lookups", "stock" }) {
    const auto text = name == "stock" ? name : name + mHead + mPadding;
    const auto hash = fake_format().Hash(text);
    mTexts[hash] = text;
    mHead += " " + name + "=" + hash;
  }
}

fake_network::fake_network(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

moment
fake_network::Now() const
{
  const auto since = mNow.time_since_epoch() + 1'000'000s;
  return { mNow,
           model::wall_instant(
             std::chrono::duration_cast<std::chrono::milliseconds>(since)) };
}

fake_instance&
fake_network::Add(const std::string& aId,
                  const std::string& aDataCentre,
                  std::uint16_t aPort)
{
  auto& added = mInstances[aId];
  added = fake_instance();
  const auto started = Now().mWall.time_since_epoch().count();
  added.mSelf = { model::instance_id(aId),
                  model::data_centre_id(aDataCentre),
                  { "10.0.0.1", aPort },
                  static_cast<cluster::incarnation>(started),
                  cluster::member_state::Alive };
  mIdByPeer[added.mSelf.mPeer] = aId;
  added.mCore = std::make_unique<cluster::cluster_core>(
    added.mSelf, mFormat, cluster::cluster_options(), mRandom());
  Schedule(mNow + model::duration(mRandom() % 100'000),
           [this, aId] { Tick(aId); });
  return added;
}

void
fake_network::AddMany(int aDataCentres, int aEach)
{
  std::uint16_t port = 1;
  for (int index = 0; index < aDataCentres; ++index) {
    const auto dataCentre = "dc" + std::to_string(index);
    for (int number = 0; number < aEach; ++number) {
      Add(dataCentre + "-" + std::to_string(number), dataCentre, port++);
    }
  }
  PublishInstanceList();
}

void
fake_network::PublishInstanceList()
{
  auto list = mStaleListEntries;
  for (const auto& [id, instance] : mInstances) {
    if (instance.mUp) {
      const auto& self = instance.mSelf;
      list.push_back({ self.mId, self.mDataCentre, self.mPeer, false });
    }
  }
  for (auto& [id, instance] : mInstances) {
    if (instance.mUp) {
      Execute(instance, instance.mCore->OnInstanceList(list, Now()));
    }
  }
}

void
fake_network::Partition(
  std::function<bool(const cluster::member&, const cluster::member&)> aIsCut)
{
  mIsCut = std::move(aIsCut);
}

void
fake_network::Schedule(model::instant aTime, task aTask)
{
  mEvents.push({ aTime, ++mOrder, std::move(aTask) });
}

void
fake_network::Tick(const std::string& aId)
{
  auto& instance = mInstances.at(aId);
  if (!instance.mUp) {
    return;
  }
  if (instance.mPausedUntil <= mNow) {
    Execute(instance, instance.mCore->OnTick(Now()));
  }
  Schedule(std::max(mNow + kTickPeriod, instance.mPausedUntil),
           [this, aId] { Tick(aId); });
}

void
fake_network::Run(std::chrono::milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
}

std::chrono::milliseconds
fake_network::RunUntil(const std::function<bool()>& aCondition,
                       std::chrono::milliseconds aLimit)
{
  const auto start = mNow;
  const auto step = 50ms;
  for (auto passed = 0ms; passed < aLimit; passed += step) {
    if (aCondition()) {
      return passed;
    }
    const auto end = start + passed + step;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      const auto next = mEvents.top();
      mEvents.pop();
      mNow = std::max(mNow, next.mAt);
      next.mTask();
    }
    mNow = end;
  }
  return aLimit;
}

void
fake_network::RunLater(const std::string& aId,
                       model::duration aDelay,
                       std::function<void(fake_instance&)> aAction)
{
  Schedule(mNow + aDelay, [this, aId, aAction] {
    auto& instance = mInstances.at(aId);
    if (instance.mPausedUntil > mNow) {
      RunLater(aId, instance.mPausedUntil - mNow, aAction);
    } else if (instance.mUp) {
      aAction(instance);
    }
  });
}

fake_instance*
fake_network::InstanceAt(const model::endpoint& aPeer)
{
  const auto found = mIdByPeer.find(aPeer);
  if (found != mIdByPeer.end() && mInstances.at(found->second).mUp) {
    return &mInstances.at(found->second);
  }
  return nullptr;
}

bool
fake_network::LosesPacket()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < mLoss;
}

void
fake_network::Deliver(const cluster::member& aFrom,
                      const model::endpoint& aTo,
                      transport aTransport,
                      std::function<void(fake_instance&)> aAction)
{
  auto* target = InstanceAt(aTo);
  if (target == nullptr || (mIsCut && mIsCut(aFrom, target->mSelf))) {
    return;
  }
  auto delay = 500us + model::duration(mRandom() % 2'000);
  while (LosesPacket()) {
    if (aTransport == transport::Udp) {
      return;
    }
    delay += kTcpRetransmitDelay;
  }
  RunLater(target->mSelf.mId.Value(), delay, std::move(aAction));
}

void
fake_network::CallPeer(fake_instance& aFrom, const cluster::call_peer& aCall)
{
  const auto caller = aFrom.mSelf;
  aFrom.mSentBytes += aCall.mParams.size() + kTcpCallHeaders;
  Deliver(
    caller,
    aCall.mTo,
    transport::Tcp,
    [this, caller, aCall](fake_instance& aPeer) {
      const auto result = aPeer.mCore->HandleCall(aCall.mMethod, aCall.mParams);
      aPeer.mSentBytes += result.size();
      Deliver(aPeer.mSelf,
              caller.mPeer,
              transport::Tcp,
              [this, aCall, result](auto& aCaller) {
                Execute(aCaller,
                        aCaller.mCore->OnReply(aCall.mCallId, result, Now()));
              });
    });
}

void
fake_network::RequestHead(fake_instance& aFrom, bool aWatch)
{
  using outcome = cluster::head_answer::outcome;
  const bool reached = mPlatform.mUp && mPlatform.mUnreachableFrom.count(
                                          aFrom.mSelf.mDataCentre) == 0;
  cluster::head_answer answer;
  if (reached) {
    ++mPlatform.mReads;
    answer.mText = mPlatform.mStaleHead.value_or(mPlatform.mHead);
    answer.mOutcome = answer.mText.empty() ? outcome::Absent : outcome::Found;
  }
  const auto id = aFrom.mSelf.mId.Value();
  if (!aWatch || !reached) {
    RunLater(
      id, mPlatform.mDelay, [this, answer, aWatch](fake_instance& aAsker) {
        Execute(aAsker, aAsker.mCore->OnHead(answer, aWatch, Now()));
      });
    return;
  }
  const auto before = mPlatform.mHead;
  const auto end = mNow + kWatchTimeout;
  auto poll = std::make_shared<std::function<void(fake_instance&)>>();
  *poll = [this, id, before, end, poll](fake_instance& aAsker) {
    const bool changed = mPlatform.mWatchFires && mPlatform.mHead != before;
    if (!changed && mNow < end) {
      RunLater(id, kWatchPollPeriod, *poll);
      return;
    }
    const auto outcome = changed ? outcome::Found : outcome::Unchanged;
    Execute(aAsker,
            aAsker.mCore->OnHead({ outcome, mPlatform.mHead }, true, Now()));
  };
  RunLater(id, kWatchPollPeriod, *poll);
}

void
fake_network::Execute(fake_instance& aInstance,
                      const cluster::cluster_effects& aEffects)
{
  const auto id = aInstance.mSelf.mId.Value();
  for (const auto& effect : aEffects) {
    if (const auto* send = std::get_if<cluster::send_datagram>(&effect)) {
      ++aInstance.mSentMessages;
      aInstance.mSentBytes += send->mBytes.size() + kIpUdpHeaders;
      aInstance.mLongestDatagram =
        std::max(aInstance.mLongestDatagram, send->mBytes.size());
      const auto from = aInstance.mSelf.mPeer;
      const auto bytes = send->mBytes;
      Deliver(aInstance.mSelf,
              send->mTo,
              transport::Udp,
              [this, from, bytes](auto& aPeer) {
                Execute(aPeer, aPeer.mCore->OnDatagram(bytes, from, Now()));
              });
    } else if (const auto* call = std::get_if<cluster::call_peer>(&effect)) {
      ++aInstance.mSentMessages;
      CallPeer(aInstance, *call);
    } else if (std::holds_alternative<cluster::read_head>(effect)) {
      RequestHead(aInstance, false);
    } else if (std::holds_alternative<cluster::watch_head>(effect)) {
      RequestHead(aInstance, true);
    } else if (const auto* pull = std::get_if<cluster::pull_text>(&effect)) {
      const auto found = mPlatform.mTexts.find(pull->mHash);
      const bool reached = mPlatform.mUp && mPlatform.mUnreachableFrom.count(
                                              aInstance.mSelf.mDataCentre) == 0;
      std::optional<std::string> text;
      if (reached && found != mPlatform.mTexts.end()) {
        text = found->second;
      }
      const auto hash = pull->mHash;
      RunLater(id, 5ms, [this, hash, text](fake_instance& aAsker) {
        Execute(aAsker, aAsker.mCore->OnText(hash, text, Now()));
      });
    } else if (const auto* adopt =
                 std::get_if<cluster::adopt_manifest>(&effect)) {
      const auto version = adopt->mHead.mVersion;
      aInstance.mAdopted.push_back(version);
      RunLater(id, 1ms, [this, version](fake_instance& aAdopter) {
        Execute(aAdopter, aAdopter.mCore->OnAdopted(version, true, Now()));
      });
    } else if (const auto* alarm = std::get_if<cluster::raise_alarm>(&effect)) {
      aInstance.mAlarms.push_back(alarm->mKind);
    } else if (const auto* learned =
                 std::get_if<cluster::gossip_learned>(&effect)) {
      aInstance.mLearnedAt.emplace(learned->mUpdate.mKey, mNow);
    }
  }
}

std::set<std::string>
fake_network::SeenBy(const std::string& aId) const
{
  std::set<std::string> seen;
  const auto view = mInstances.at(aId).mCore->View();
  for (const auto& [dataCentre, list] : view->Lists()) {
    for (const auto& entry : *list) {
      if (cluster::TakesWork(entry)) {
        seen.insert(entry.mId.Value());
      }
    }
  }
  return seen;
}

bool
fake_network::Converged() const
{
  std::set<std::string> up;
  for (const auto& [id, instance] : mInstances) {
    if (instance.mUp) {
      up.insert(id);
    }
  }
  for (const auto& id : up) {
    if (SeenBy(id) != up) {
      return false;
    }
  }
  return true;
}

bool
fake_network::AllInForce(model::manifest_version aVersion) const
{
  for (const auto& [id, instance] : mInstances) {
    if (instance.mUp && instance.mCore->Manifests().Version() != aVersion) {
      return false;
    }
  }
  return true;
}

} // namespace monsooncroft::test
