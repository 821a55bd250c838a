/**
 * @file cluster_node.cpp
 * Threads that pass events to the cluster's state machines and execute their
 * effects.
 */
#include "peer/cluster_node_base.h"

#include "cluster/cluster_core_base.h"
#include "net/http_pool_base.h"
#include "peer/datagram_socket_base.h"
#include "peer/jsonrpc/rpc_server_base.h"
#include "peer/peer_error.h"
#include "peer/rpc_client_base.h"
#include "peer/task_queue_base.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <type_traits>
#include <utility>
#include <variant>

namespace monsooncroft::peer {

namespace {

using cluster::cluster_effects;

constexpr std::chrono::milliseconds kTickPeriod{ 50 };
constexpr std::size_t kCallThreads = 4;

cluster::moment
Now()
{
  using std::chrono::time_point_cast;
  return { time_point_cast<model::duration>(std::chrono::steady_clock::now()),
           time_point_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now()) };
}

std::uint64_t
WallMilliseconds()
{
  return static_cast<std::uint64_t>(Now().mWall.time_since_epoch().count());
}

cluster::member
SelfMember(const cluster_settings& aSettings)
{
  return { aSettings.mId,
           aSettings.mDataCentre,
           aSettings.mPeerAddress,
           WallMilliseconds(),
           cluster::member_state::Alive };
}

std::uint64_t
SeedOf(const cluster_settings& aSettings)
{
  if (aSettings.mSeed != 0) {
    return aSettings.mSeed;
  }
  return WallMilliseconds() ^ std::hash<model::instance_id>()(aSettings.mId);
}

/** Implementation of cluster_node with threads and sockets. */
class running_node : public cluster_node
{
public:
  running_node(const cluster_settings& aSettings,
               const cluster_dependencies& aDependencies);
  ~running_node() override { running_node::Stop(); }
  running_node(const running_node&) = delete;
  running_node& operator=(const running_node&) = delete;

  void OnInstanceList(
    const std::vector<cluster::listed_instance>& aList) override;
  std::string HandleRpc(const std::string& aBody) override;
  void Publish(const cluster::gossip_update& aUpdate) override;
  void Leave() override;
  void Stop() override;
  cluster::member_view_ptr View() const override;
  model::manifest_version ManifestVersion() const override;
  std::vector<cluster::gossip_update> GossipUpdates(
    cluster::gossip_kind aKind) const override;
  bool HasRecentContact(const model::data_centre_id& aDataCentre,
                        model::duration aWithin) const override;

private:
  /** Applies an event to mCore and executes its effects. */
  template<class Event>
  void Handle(const Event& aEvent);
  void RegisterMethods();
  void TickLoop();
  void ReceiveLoop();

  void Execute(const cluster::send_datagram& aEffect);
  void Execute(const cluster::call_peer& aEffect);
  void Execute(const cluster::members_changed& aEffect);
  void Execute(const cluster::gossip_learned& aEffect);
  void Execute(const cluster::resumed_from_pause& aEffect);
  void Execute(const cluster::watch_head& aEffect);
  void Execute(const cluster::read_head& aEffect);
  void Execute(const cluster::pull_text& aEffect);
  void Execute(const cluster::adopt_manifest& aEffect);
  void Execute(const cluster::raise_alarm& aEffect);

  cluster_settings mSettings;
  cluster_dependencies mDependencies;
  std::unique_ptr<datagram_socket> mSocket;
  rpc_client mClient;
  rpc_server mServer;
  mutable std::mutex mMutex; ///< Guards mCore. Only the task queues' locks may
                             ///< be taken while holding it.
  cluster::cluster_core mCore;
  std::atomic<bool> mStopping{ false };
  task_queue
    mBlockingCalls;       ///< Calls to peers and reads of the manifest store.
  task_queue mWatchCalls; ///< Watches of the head; a queue of their own,
                          ///< because each blocks for long.
  task_queue
    mListenerCalls; ///< Calls of the listener; one thread keeps them in order.
  std::thread mTicker;
  std::thread mReceiver;
};

running_node::running_node(const cluster_settings& aSettings,
                           const cluster_dependencies& aDependencies)
  : mSettings(aSettings)
  , mDependencies(aDependencies)
  , mSocket(datagram_socket::Bind(aSettings.mPeerAddress))
  , mClient(aDependencies.mPool,
            aSettings.mId.Value() + "-" + std::to_string(WallMilliseconds()))
  , mCore(SelfMember(aSettings),
          aDependencies.mFormat,
          aSettings.mOptions,
          SeedOf(aSettings))
  , mBlockingCalls(kCallThreads)
  , mWatchCalls(1)
  , mListenerCalls(1)
{
  RegisterMethods();
  mTicker = std::thread([this] { TickLoop(); });
  mReceiver = std::thread([this] { ReceiveLoop(); });
}

template<class Event>
void
running_node::Handle(const Event& aEvent)
{
  std::vector<cluster::send_datagram> sends;
  {
    const std::lock_guard lock(mMutex);
    // Effects are queued under the lock so that the listener receives changes
    // in order.
    for (const auto& effect : aEvent(mCore, Now())) {
      if (const auto* send = std::get_if<cluster::send_datagram>(&effect)) {
        sends.push_back(*send);
      } else {
        std::visit([this](const auto& aEffect) { Execute(aEffect); }, effect);
      }
    }
  }
  for (const auto& send : sends) {
    Execute(send);
  }
}

void
running_node::RegisterMethods()
{
  for (const std::string method : { cluster::kMethodAntiEntropy,
                                    cluster::kMethodPullChunk,
                                    cluster::kMethodMemberSummary }) {
    mServer.Register(method, [this, method](const std::string& aParams) {
      const std::lock_guard lock(mMutex);
      return mCore.HandleCall(method, aParams);
    });
  }
}

void
running_node::TickLoop()
{
  while (!mStopping) {
    Handle([](auto& aCore, const auto& aNow) { return aCore.OnTick(aNow); });
    std::this_thread::sleep_for(kTickPeriod);
  }
}

void
running_node::ReceiveLoop()
{
  while (!mStopping) {
    const auto received = mSocket->Receive(kTickPeriod);
    if (received) {
      Handle([&](auto& aCore, const auto& aNow) {
        return aCore.OnDatagram(received->mBytes, received->mFrom, aNow);
      });
    }
  }
}

void
running_node::Execute(const cluster::send_datagram& aEffect)
{
  mSocket->Send(aEffect.mTo, aEffect.mBytes);
}

void
running_node::Execute(const cluster::call_peer& aEffect)
{
  mBlockingCalls.Post([this, aEffect] {
    std::optional<std::string> result;
    try {
      result = mClient.Call(aEffect.mTo,
                            aEffect.mMethod,
                            aEffect.mParams,
                            mSettings.mOptions.mCallTimeout);
    } catch (const peer_error&) {
      // OnReply treats a missing result as a failed call.
    }
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnReply(aEffect.mCallId, result, aNow);
    });
  });
}

void
running_node::Execute(const cluster::members_changed& aEffect)
{
  mListenerCalls.Post(
    [this, aEffect] { mDependencies.mListener.OnMembers(aEffect.mView); });
}

void
running_node::Execute(const cluster::gossip_learned& aEffect)
{
  mListenerCalls.Post([this, aEffect] {
    mDependencies.mListener.OnGossipUpdate(aEffect.mUpdate);
  });
}

void
running_node::Execute(const cluster::resumed_from_pause& aEffect)
{
  mListenerCalls.Post(
    [this, aEffect] { mDependencies.mListener.OnPause(aEffect.mGap); });
}

void
running_node::Execute(const cluster::watch_head& /*aEffect*/)
{
  mWatchCalls.Post([this] {
    const auto answer = mDependencies.mSource.WatchHead();
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnHead(answer, true, aNow);
    });
  });
}

void
running_node::Execute(const cluster::read_head& /*aEffect*/)
{
  mBlockingCalls.Post([this] {
    const auto answer = mDependencies.mSource.ReadHead();
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnHead(answer, false, aNow);
    });
  });
}

void
running_node::Execute(const cluster::pull_text& aEffect)
{
  mBlockingCalls.Post([this, aEffect] {
    const auto text = mDependencies.mSource.ReadText(aEffect.mHash);
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnText(aEffect.mHash, text, aNow);
    });
  });
}

void
running_node::Execute(const cluster::adopt_manifest& aEffect)
{
  mListenerCalls.Post([this, aEffect] {
    const bool valid =
      mDependencies.mListener.OnManifest(aEffect.mHead, aEffect.mChunks);
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnAdopted(aEffect.mHead.mVersion, valid, aNow);
    });
  });
}

void
running_node::Execute(const cluster::raise_alarm& aEffect)
{
  mListenerCalls.Post([this, aEffect] {
    mDependencies.mListener.OnAlarm(aEffect.mKind, aEffect.mText);
  });
}

void
running_node::OnInstanceList(const std::vector<cluster::listed_instance>& aList)
{
  Handle([&](auto& aCore, const auto& aNow) {
    return aCore.OnInstanceList(aList, aNow);
  });
}

std::string
running_node::HandleRpc(const std::string& aBody)
{
  return mServer.HandleHttpBody(aBody);
}

void
running_node::Publish(const cluster::gossip_update& aUpdate)
{
  Handle([&](auto& aCore, const auto& aNow) {
    return aCore.Publish(aUpdate, aNow);
  });
}

void
running_node::Leave()
{
  Handle([](auto& aCore, const auto& aNow) { return aCore.Leave(aNow); });
}

void
running_node::Stop()
{
  if (mStopping.exchange(true)) {
    return;
  }
  mTicker.join();
  mReceiver.join();
  mBlockingCalls.Stop();
  mWatchCalls.Stop();
  mListenerCalls.Stop();
}

cluster::member_view_ptr
running_node::View() const
{
  const std::lock_guard lock(mMutex);
  return mCore.View();
}

model::manifest_version
running_node::ManifestVersion() const
{
  const std::lock_guard lock(mMutex);
  return mCore.Manifests().Version();
}

std::vector<cluster::gossip_update>
running_node::GossipUpdates(cluster::gossip_kind aKind) const
{
  const std::lock_guard lock(mMutex);
  return mCore.GossipUpdates().UpdatesOfKind(aKind);
}

bool
running_node::HasRecentContact(const model::data_centre_id& aDataCentre,
                               model::duration aWithin) const
{
  const std::lock_guard lock(mMutex);
  const auto lastContact = mCore.Members().LastContactWith(aDataCentre);
  return lastContact && Now().mNow - *lastContact <= aWithin;
}

} // namespace

std::unique_ptr<cluster_node>
cluster_node::Start(const cluster_settings& aSettings,
                    const cluster_dependencies& aDependencies)
{
  return std::make_unique<running_node>(aSettings, aDependencies);
}

} // namespace monsooncroft::peer
