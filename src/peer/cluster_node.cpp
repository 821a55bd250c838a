/**
 * @file cluster_node.cpp
 * Threads that feed the cluster's state machines and carry out their effects.
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

constexpr std::chrono::milliseconds kTick{ 50 };
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
SelfOf(const cluster_settings& aSettings)
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

/** The running node. */
class running_node : public cluster_node
{
public:
  running_node(const cluster_settings& aSettings,
               const cluster_dependencies& aParts);
  ~running_node() override { running_node::Stop(); }
  running_node(const running_node&) = delete;
  running_node& operator=(const running_node&) = delete;

  void OnInstanceList(
    const std::vector<cluster::listed_instance>& aList) override;
  std::string HandleRpc(const std::string& aBody) override;
  void Publish(const cluster::gossip_update& aRumour) override;
  void Leave() override;
  void Stop() override;
  cluster::member_view_ptr View() const override;
  model::manifest_version ManifestVersion() const override;
  std::vector<cluster::gossip_update> GossipUpdates(
    cluster::gossip_kind aKind) const override;
  bool HasRecentContact(const model::data_centre_id& aDataCentre,
                        model::duration aWithin) const override;

private:
  /** Runs an event and carries out its effects. */
  template<class Event>
  void Handle(const Event& aEvent);
  void RegisterMethods();
  void TickLoop();
  void ReceiveLoop();

  void Carry(const cluster::send_datagram& aEffect);
  void Carry(const cluster::call_peer& aEffect);
  void Carry(const cluster::members_changed& aEffect);
  void Carry(const cluster::gossip_learned& aEffect);
  void Carry(const cluster::resumed_from_pause& aEffect);
  void Carry(const cluster::watch_head& aEffect);
  void Carry(const cluster::read_head& aEffect);
  void Carry(const cluster::pull_text& aEffect);
  void Carry(const cluster::adopt_manifest& aEffect);
  void Carry(const cluster::raise_alarm& aEffect);

  cluster_settings mSettings;
  cluster_dependencies mParts;
  std::unique_ptr<datagram_socket> mSocket;
  rpc_client mClient;
  rpc_server mServer;
  mutable std::mutex mMutex; ///< Guards mCore; below it only the queues' locks.
  cluster::cluster_core mCore;
  std::atomic<bool> mStopping{ false };
  task_queue mCalls; ///< Calls to peers and reads of the store.
  task_queue mWatch; ///< The watch, which waits long.
  task_queue mTold;  ///< Calls of the listener, in order.
  std::thread mTicker;
  std::thread mReceiver;
};

running_node::running_node(const cluster_settings& aSettings,
                           const cluster_dependencies& aParts)
  : mSettings(aSettings)
  , mParts(aParts)
  , mSocket(datagram_socket::Bind(aSettings.mPeerAddress))
  , mClient(aParts.mPool,
            aSettings.mId.Value() + "-" + std::to_string(WallMilliseconds()))
  , mCore(SelfOf(aSettings),
          aParts.mFormat,
          aSettings.mOptions,
          SeedOf(aSettings))
  , mCalls(kCallThreads)
  , mWatch(1)
  , mTold(1)
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
    // Queued under the lock, so that the listener hears changes in order.
    for (const auto& effect : aEvent(mCore, Now())) {
      if (const auto* send = std::get_if<cluster::send_datagram>(&effect)) {
        sends.push_back(*send);
      } else {
        std::visit([this](const auto& aEffect) { Carry(aEffect); }, effect);
      }
    }
  }
  for (const auto& send : sends) {
    Carry(send);
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
    std::this_thread::sleep_for(kTick);
  }
}

void
running_node::ReceiveLoop()
{
  while (!mStopping) {
    const auto received = mSocket->Receive(kTick);
    if (received) {
      Handle([&](auto& aCore, const auto& aNow) {
        return aCore.OnDatagram(received->mBytes, received->mFrom, aNow);
      });
    }
  }
}

void
running_node::Carry(const cluster::send_datagram& aEffect)
{
  mSocket->Send(aEffect.mTo, aEffect.mBytes);
}

void
running_node::Carry(const cluster::call_peer& aEffect)
{
  mCalls.Post([this, aEffect] {
    std::optional<std::string> result;
    try {
      result = mClient.Call(aEffect.mTo,
                            aEffect.mMethod,
                            aEffect.mParams,
                            mSettings.mOptions.mCallTimeout);
    } catch (const peer_error&) {
      // The core treats a missing result as a failed call.
    }
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnReply(aEffect.mCallId, result, aNow);
    });
  });
}

void
running_node::Carry(const cluster::members_changed& aEffect)
{
  mTold.Post([this, aEffect] { mParts.mListener.OnMembers(aEffect.mView); });
}

void
running_node::Carry(const cluster::gossip_learned& aEffect)
{
  mTold.Post(
    [this, aEffect] { mParts.mListener.OnGossipUpdate(aEffect.mUpdate); });
}

void
running_node::Carry(const cluster::resumed_from_pause& aEffect)
{
  mTold.Post([this, aEffect] { mParts.mListener.OnPause(aEffect.mGap); });
}

void
running_node::Carry(const cluster::watch_head& /*aEffect*/)
{
  mWatch.Post([this] {
    const auto answer = mParts.mSource.WatchHead();
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnHead(answer, true, aNow);
    });
  });
}

void
running_node::Carry(const cluster::read_head& /*aEffect*/)
{
  mCalls.Post([this] {
    const auto answer = mParts.mSource.ReadHead();
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnHead(answer, false, aNow);
    });
  });
}

void
running_node::Carry(const cluster::pull_text& aEffect)
{
  mCalls.Post([this, aEffect] {
    const auto text = mParts.mSource.ReadText(aEffect.mHash);
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnText(aEffect.mHash, text, aNow);
    });
  });
}

void
running_node::Carry(const cluster::adopt_manifest& aEffect)
{
  mTold.Post([this, aEffect] {
    const bool valid =
      mParts.mListener.OnManifest(aEffect.mHead, aEffect.mChunks);
    Handle([&](auto& aCore, const auto& aNow) {
      return aCore.OnAdopted(aEffect.mHead.mVersion, valid, aNow);
    });
  });
}

void
running_node::Carry(const cluster::raise_alarm& aEffect)
{
  mTold.Post([this, aEffect] {
    mParts.mListener.OnAlarm(aEffect.mKind, aEffect.mText);
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
running_node::Publish(const cluster::gossip_update& aRumour)
{
  Handle([&](auto& aCore, const auto& aNow) {
    return aCore.Publish(aRumour, aNow);
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
  mCalls.Stop();
  mWatch.Stop();
  mTold.Stop();
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
  const auto heard = mCore.Members().LastContactWith(aDataCentre);
  return heard && Now().mNow - *heard <= aWithin;
}

} // namespace

std::unique_ptr<cluster_node>
cluster_node::Start(const cluster_settings& aSettings,
                    const cluster_dependencies& aParts)
{
  return std::make_unique<running_node>(aSettings, aParts);
}

} // namespace monsooncroft::peer
