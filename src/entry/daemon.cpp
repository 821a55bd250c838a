/**
 * @file daemon.cpp
 * Wiring of an entry instance, and its graceful stop.
 */
#include "entry/daemon_base.h"

#include "config/json_text_func.h"
#include "config/query_json_func.h"
#include "config/settings_base.h"
#include "entry/alarm_board_base.h"
#include "entry/caller_handler_base.h"
#include "entry/clock_func.h"
#include "entry/cluster_watch_base.h"
#include "entry/entry_error.h"
#include "entry/leaf_table_base.h"
#include "entry/list_watch_base.h"
#include "entry/manifest_store_source_base.h"
#include "entry/manifest_table_base.h"
#include "entry/once_service_base.h"
#include "entry/owner_service_base.h"
#include "entry/peer_handler_base.h"
#include "entry/quarantine_desk_base.h"
#include "entry/query_desk_base.h"
#include "entry/root_service_base.h"
#include "entry/settings_map_func.h"
#include "entry/snapshot_table_base.h"
#include "entry/status_page_func.h"
#include "entry/target_table_base.h"
#include "entry/ticker_base.h"
#include "entry/trial_service_base.h"
#include "entry/worker_pool_base.h"
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "net/http_server_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "peer/cluster_node_base.h"
#include "store/platform_client_base.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace monsooncroft::entry {

namespace {

using config::setting;

constexpr std::size_t kIdlePeerConnections = 64;
constexpr std::size_t kIdlePlatformConnections = 4;
constexpr unsigned kPlatformWorkers = 4;
/** Longest query that another instance may hand on. */
constexpr std::size_t kMaxForwardedBytes = 2UL * 1024 * 1024;
constexpr std::size_t kMaxExplainBytes = 4096;
constexpr int kExplainDepth = 4;
constexpr std::chrono::milliseconds kTick{ 1000 };
constexpr std::chrono::milliseconds kStopPoll{ 20 };
/** In flight stays at none for this long before the end. */
constexpr std::chrono::milliseconds kQuietTime{ 300 };

class instance : public daemon
{
public:
  explicit instance(const config::settings& aSettings);
  ~instance() override { instance::End(); }

  instance(const instance&) = delete;
  instance& operator=(const instance&) = delete;
  instance(instance&&) = delete;
  instance& operator=(instance&&) = delete;

  void Serve();
  bool Stop() override;
  void Hurry() override { mHurry = true; }

private:
  bool Ready() const;
  status_view View() const;
  std::string Explain(const std::string& aBody);
  std::string RunAsHome(const std::string& aBody);
  void OnTick();
  bool AwaitQuiet(model::instant aBound);
  void End();

  const config::settings mSettings;
  const model::instance_id mId;
  const model::data_centre_id mDataCentre;
  const std::uint64_t mIncarnation;
  ops::log mLog;
  ops::metrics mMetrics;
  alarm_board mAlarms;
  std::unique_ptr<net::http_connector> mConnector;
  std::unique_ptr<worker_pool> mWorkers;
  net::http_pool mPeers;
  net::http_pool mPlatformPool;
  store::platform_client mPlatform;
  manifest_store_source mSource;
  manifest_table mManifests;
  leaf_table mLeaves;
  quarantine_desk mQuarantine;
  snapshot_table mSnapshots;
  target_table mTargets;
  owner_service mOwner;
  root_service mRoot;
  trial_service mTrials;
  once_service mOnce;
  query_desk mDesk;
  cluster_watch mWatch;
  list_watch mList;
  std::unique_ptr<peer::cluster_node> mNode;
  std::unique_ptr<caller_handler> mCallers;
  std::unique_ptr<peer_handler> mPeerHandler;
  std::unique_ptr<net::http_server> mCallerServer;
  std::unique_ptr<net::http_server> mPeerServer;
  std::unique_ptr<ticker> mTicker;
  std::atomic<bool> mServing{ false }; ///< Everything is put together.
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mHurry{ false };
};

instance::instance(const config::settings& aSettings)
  : mSettings(aSettings)
  , mId(aSettings.Text(setting::InstanceId))
  , mDataCentre(aSettings.Text(setting::InstanceDataCentre))
  , mIncarnation(
      static_cast<std::uint64_t>(WallNow().time_since_epoch().count()))
  , mLog(mId.Value(), LogLevelOf(aSettings))
  , mAlarms(mLog)
  , mConnector(net::http_connector::Create(
      static_cast<int>(aSettings.Integer(setting::IoThreads)),
      [this](const model::endpoint& aPeer, const char* aDefect) {
        mMetrics.Count("answers_malformed", { { "defect", aDefect } });
        mLog.Write(
          ops::log_level::Warning,
          "answer_malformed",
          { { "peer", aPeer.ToString() }, { "defect", std::string(aDefect) } });
      }))
  , mWorkers(worker_pool::Create(kPlatformWorkers))
  , mPeers(*mConnector, kIdlePeerConnections)
  , mPlatformPool(*mConnector, kIdlePlatformConnections)
  , mPlatform(mPlatformPool, PlatformOptionsOf(aSettings), Now)
  , mSource(mPlatform)
  , mManifests(
      static_cast<std::size_t>(aSettings.Integer(setting::OwnershipReplicas)))
  , mLeaves(*mConnector, GateOptionsOf(aSettings), LeafHedgeOf(aSettings))
  , mQuarantine({ *mConnector, mPeers, mLeaves, mManifests, mLog, mId },
                QuarantineSettingsOf(aSettings))
  , mOwner(*mConnector, mManifests, mLeaves, mMetrics, mId)
  , mRoot(
      { *mConnector,
        mManifests,
        mMetrics,
        { mPeers,
          mOwner,
          mSnapshots,
          mTargets,
          mId,
          static_cast<std::size_t>(aSettings.Integer(setting::RelayShards)) },
        mDataCentre },
      RootHedgeOf(aSettings))
  , mTrials({ *mConnector,
              mPeers,
              mRoot,
              mQuarantine,
              mManifests,
              mId,
              static_cast<int>(aSettings.Integer(setting::WorkersPeer)) / 2 })
  , mOnce({ mTrials,
            mManifests,
            mPeers,
            { mPlatform, *mWorkers, *mConnector },
            { mId, mIncarnation },
            mDataCentre },
          RecordSettingsOf(aSettings))
  , mDesk({ mRoot, mTrials, mOnce, mLog, mMetrics })
  , mWatch({ mManifests,
             mLeaves,
             mRoot,
             mQuarantine,
             mLog,
             mAlarms,
             mId,
             mDataCentre },
           static_cast<int>(aSettings.Integer(setting::OwnershipReplicas)))
  , mList({ mPlatform, mLeaves, mLog, mId, mDataCentre })
{
}

void
instance::Serve()
{
  peer::cluster_settings settings;
  settings.mId = mId;
  settings.mDataCentre = mDataCentre;
  settings.mPeerAddress = mSettings.Endpoint(setting::ListenPeer);
  settings.mOptions = ClusterOptionsOf(mSettings);
  mTicker = std::make_unique<ticker>(kTick, [this] { OnTick(); });
  mWatch.SetChanged([this] { mTicker->Wake(); });
  mQuarantine.SetPut([this](const cluster::gossip_update& aRumour) {
    if (mNode) {
      mNode->Publish(aRumour);
    }
  });
  mNode =
    peer::cluster_node::Start(settings, { mPeers, mSource, mSource, mWatch });
  mPeerHandler = std::make_unique<peer_handler>(peer_routes{
    mOwner,
    [this](const std::string& aBody) { return mNode->HandleRpc(aBody); },
    [this](const std::string& aBody) { return RunAsHome(aBody); },
    [this](const std::string& aBody) { return mTrials.RunForwarded(aBody); },
    [this](const std::string& aBody) { return mQuarantine.OnMarks(aBody); } });
  mCallers = std::make_unique<caller_handler>(caller_routes{
    mDesk,
    [this] { return Ready(); },
    [this] { return StatusPage(View(), mMetrics); },
    [this] { return MetricsPage(View(), mMetrics); },
    [this](const std::string& aBody) { return Explain(aBody); },
    static_cast<std::size_t>(mSettings.Integer(setting::QueryBodyLimit)) });
  mPeerServer = net::http_server::Start(PeerServerOf(mSettings), *mPeerHandler);
  mCallerServer = net::http_server::Start(CallerServerOf(mSettings), *mCallers);
  mServing = true;
  mTicker->Wake();
  mLog.Write(
    ops::log_level::Info,
    "started",
    { { "data_centre", mDataCentre.Value() },
      { "caller", mSettings.Endpoint(setting::ListenCaller).ToString() },
      { "peer", mSettings.Endpoint(setting::ListenPeer).ToString() } });
}

void
instance::OnTick()
{
  if (!mServing) {
    return;
  }
  mList.Poll(*mNode, Now());
  mLeaves.Tick(mWatch.OwnedLeaves());
  mQuarantine.Tick();
  mRoot.RefreshSnapshots();
}

bool
instance::Ready() const
{
  return !mStopping && mManifests.Owners() != nullptr &&
         mLeaves.Looked(mWatch.OwnedLeaves());
}

status_view
instance::View() const
{
  const model::manifest_ptr manifest = mManifests.Current();
  status_view view;
  view.mInstance = mId;
  view.mDataCentre = mDataCentre;
  view.mManifest = manifest ? manifest->Version() : 0;
  view.mReady = Ready();
  view.mStopping = mStopping;
  view.mAlarms = mAlarms.Texts();
  view.mCallersInFlight = mCallers->InFlight();
  view.mPeersInFlight = mPeerHandler->InFlight();
  view.mLeafConnections = mLeaves.Connections();
  view.mPlatform = mPlatform.Calls();
  view.mMembers = mManifests.View();
  view.mLeaving = mLeaves.Marks();
  view.mQuarantine = mQuarantine.Marks();
  return view;
}

std::string
instance::Explain(const std::string& aBody)
{
  config::config_errors errors;
  const auto question =
    config::ReadJson(aBody, { kMaxExplainBytes, kExplainDepth }, errors);
  const auto text = [&](const char* aField) {
    const bool there = question && question->is_object() &&
                       question->contains(aField) &&
                       question->at(aField).is_string();
    return there ? question->at(aField).get<std::string>() : std::string();
  };
  if (text("service").empty() || text("kind").empty()) {
    return "";
  }
  return mRoot.Explain(model::service_id(text("service")),
                       model::kind_id(text("kind")));
}

std::string
instance::RunAsHome(const std::string& aBody)
{
  const model::instant arrived = Now();
  const auto query = config::ParseQuery(aBody, kMaxForwardedBytes);
  const auto contract = query ? mRoot.ContractOf(query.value()) : std::nullopt;
  if (!contract || contract->mIdempotent || !query.value().mIssuedAt) {
    return "";
  }
  return config::EmitAnswer(mOnce.RunHere(query.value(), *contract, arrived));
}

bool
instance::Stop()
{
  const model::instant asked = Now();
  const model::instant bound =
    asked + mSettings.Milliseconds(setting::ShutdownBound);
  mStopping = true;
  mCallers->SetClosing(true);
  mNode->Leave();
  mLog.Write(ops::log_level::Info, "stopping", {});
  const model::instant drained =
    std::min(bound, asked + mSettings.Milliseconds(setting::ShutdownDrain));
  while (Now() < drained && !mHurry) {
    std::this_thread::sleep_for(kStopPoll);
  }
  const bool quiet = AwaitQuiet(bound);
  mLog.Write(
    quiet ? ops::log_level::Info : ops::log_level::Warning,
    "stopped",
    { { "quiet", static_cast<long>(quiet) },
      { "callers_in_flight", static_cast<long>(mCallers->InFlight()) },
      { "peers_in_flight", static_cast<long>(mPeerHandler->InFlight()) } });
  return quiet;
}

/** Waits until nothing came or was under way for a while. */
bool
instance::AwaitQuiet(model::instant aBound)
{
  model::instant busy = Now();
  while (Now() < aBound && !mHurry) {
    if (mCallers->InFlight() > 0 || mPeerHandler->InFlight() > 0) {
      busy = Now();
    }
    if (Now() - busy >= kQuietTime) {
      return true;
    }
    std::this_thread::sleep_for(kStopPoll);
  }
  return false;
}

void
instance::End()
{
  mTicker.reset();
  mCallerServer.reset();
  mPeerServer.reset();
  if (mNode) {
    mNode->Stop();
  }
  mWorkers->Stop();
  mConnector->Stop();
}

} // namespace

std::unique_ptr<daemon>
daemon::Start(const config::settings& aSettings)
{
  try {
    auto running = std::make_unique<instance>(aSettings);
    running->Serve();
    return running;
  } catch (const std::exception&) {
    std::throw_with_nested(entry_error("the instance cannot start"));
  }
}

} // namespace monsooncroft::entry
