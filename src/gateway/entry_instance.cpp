/**
 * @file entry_instance.cpp
 * An entry instance: owns and connects its components.
 */
#include "gateway/entry_instance_base.h"

#include "cluster/rendezvous_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/retry_after_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Period of checks of timeouts and background work. */
constexpr std::chrono::milliseconds kTickPeriod{ 50 };
constexpr serving::fleet_membership_settings kFleetSettings{};
/** Growth of the offset between boot clock and steady clock that shows a
 * suspension of the machine. */
constexpr std::chrono::milliseconds kSuspensionGap{ 700 };
/** Fraction of the routed services that must be reachable to be ready. */
constexpr double kMinReachableFraction = 0.75;
/** Leaf observations in one message, so that it fits a datagram. */
constexpr std::size_t kMaxObservations = 48;
/** Leaves' limits in one message, so that it fits a datagram. */
constexpr std::size_t kMaxLimitReports = 40;
/** Departures of leaves in one message, so that it fits a datagram. */
constexpr std::size_t kMaxDepartureReports = 16;
/** Period of log entries about fields that cannot be read. */
constexpr std::chrono::seconds kMalformedFieldLogPeriod{ 10 };
/** Messages about quotas that a process numbers in a millisecond at most. */
constexpr std::uint64_t kIdsPerMs = 1'000;
/** Fraction of the demand that must be servable to be ready while a data centre
 * is unreachable. */
constexpr double kMinServableFraction = 0.5;

model::duration
BootOffset(model::instant aNow)
{
  return event_loop::BootTime() - aNow.time_since_epoch();
}

std::uint64_t
WallMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

serving::fleet_membership
MakeFleet(const instance_settings& aSettings)
{
  serving::fleet_member self;
  self.mName = aSettings.mName;
  self.mDataCentre = aSettings.mDataCentre;
  self.mPeerEndpoint = aSettings.mPeerAddress;
  self.mIncarnation = WallMs();
  self.mCapacityMillicores =
    static_cast<std::uint32_t>(aSettings.mCapacity * 1'000);
  const std::uint64_t seed =
    cluster::HashOf(aSettings.mName) ^ self.mIncarnation;
  return { std::move(self), aSettings.mSeeds, kFleetSettings, seed };
}

/** Disables screening: requests are not restricted until a request of the same
 * content has crashed a leaf. */
once::quarantine_settings
QuarantineSettings()
{
  once::quarantine_settings settings;
  settings.mScreening = once::screening_mode::Never;
  return settings;
}

model::wall_instant
WallNow()
{
  return model::wall_instant(std::chrono::milliseconds(WallMs()));
}

/** Offset of an instance's weighted_split, from 0 to 1, by its name. */
double
SplitOffset(const std::string& aName)
{
  constexpr std::uint64_t kSteps = 1'000;
  return static_cast<double>(cluster::HashOf(aName) % kSteps) / kSteps;
}

} // namespace

entry_instance::entry_instance(event_loop& aLoop,
                               instance_settings aSettings,
                               control_store& aStore,
                               const ops::log& aLog,
                               ops::metrics& aMetrics,
                               std::shared_ptr<ops::bounded_sink> aSink)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mSink(std::move(aSink))
  , mRetryBudget(mSettings.mRetryBudget, event_loop::Now())
  , mQuarantine(QuarantineSettings())
  , mLeaves(aLoop,
            mSettings.mHeaderNames,
            *this,
            mSettings.mName,
            mSettings.mDataCentre)
  , mControlPlane(aLoop,
                  aStore,
                  MakeFleet(mSettings),
                  mSettings.mControl,
                  MakeHooks(),
                  aLog,
                  aMetrics)
  , mPermits(aLoop,
             mLeaves,
             mLimits,
             mControlPlane,
             aMetrics,
             cluster::HashOf(mSettings.mName) ^ WallMs())
  , mQuota(aLoop,
           mControlPlane,
           mSettings.mQuota,
           aLog,
           aMetrics,
           WallMs() * kIdsPerMs)
  , mRelay(aLoop,
           mSettings.mHeaderNames,
           mSettings.mName,
           mSettings.mQuery.mRetryAfter,
           aLog,
           aMetrics)
  , mDispatcher({ aLoop,
                  mSettings.mHeaderNames,
                  mLeaves,
                  mPermits,
                  mRelay,
                  mRetryBudget,
                  mQuarantine,
                  mSettings.mQuery,
                  aLog,
                  aMetrics },
                SplitOffset(mSettings.mName))
  , mCallerServer(aLoop, mSettings.mCallerAddress, mDispatcher, aLog)
  , mReadinessServer(aLoop, mSettings.mReadinessAddress, *this, aLog)
  , mRelayHandler(mDispatcher,
                  [this] { return mRelayServer->BusyConnections(); })
  , mRelayServer(mSettings.mRelayAddress.mPort == 0
                   ? nullptr
                   : std::make_unique<uv_http_server>(aLoop,
                                                      mSettings.mRelayAddress,
                                                      mRelayHandler,
                                                      aLog))
  , mRootDuty(serving::root_settings{}, event_loop::Now())
  , mTickTimer(aLoop, [this] { OnTick(); })
  , mStartedAt(event_loop::Now())
  , mNextGossipRound(mStartedAt)
  , mLastTickAt(mStartedAt)
  , mBootOffset(BootOffset(mStartedAt))
{
  mLog.Write(ops::log_level::Info,
             "started",
             { { "callers", mSettings.mCallerAddress.ToString() },
               { "peers", mSettings.mPeerAddress.ToString() },
               { "data_centre", mSettings.mDataCentre },
               { "seeds", static_cast<long>(mSettings.mSeeds.size()) } });
  ConnectWorkspaces();
  OnTick();
}

entry_instance::~entry_instance() = default;

control_plane::hooks
entry_instance::MakeHooks()
{
  control_plane::hooks hooks;
  hooks.mOnConfig = [this](const serving::routing_config_ptr& aConfig) {
    mDispatcher.SetConfig(aConfig);
    mQuota.SetConfig(*aConfig);
    mCallerServer.SetLimits(aConfig->Limits());
    UpdateRole(event_loop::Now());
  };
  hooks.mOnLeaves = [this](const serving::leaf_directory::changes& aChanges) {
    const model::instant now = event_loop::Now();
    ForgetLimits(aChanges);
    mLeaves.Apply(aChanges, now);
    UpdateRole(now);
    mLeaves.OnTick(mDispatcher.Config().get(), now);
  };
  hooks.mOnSuspicion = [this](const serving::leaf_suspicion& aSuspicion) {
    if (leaf_endpoint* leaf = mLeaves.Find(aSuspicion.mLeafId)) {
      leaf->Load().OnPeerSuspicion(
        event_loop::Now() + std::chrono::milliseconds(aSuspicion.mRemainingMs));
    }
  };
  hooks.mOnObservation = [this](const serving::leaf_observation& aObservation) {
    if (leaf_endpoint* leaf = mLeaves.Find(aObservation.mLeafId)) {
      const model::instant now = event_loop::Now();
      if (aObservation.mExcessLatencyMs) {
        leaf->Load().OnPeerLatency(
          std::chrono::milliseconds(*aObservation.mExcessLatencyMs), now);
      } else {
        leaf->Load().OnPeerError(now);
      }
    }
  };
  hooks.mOnDataCentreUnreachable = [this](const std::string& aDataCentre) {
    if (mLeaves.OnReportedUnreachable(aDataCentre)) {
      LogReachability(
        aDataCentre, true, "reported by a peer in this data centre");
    }
  };
  hooks.mOnLeafLimit = [this](const serving::leaf_limit_report& aReport) {
    OnPeerLimit(aReport);
  };
  hooks.mLeafLimits = [this] {
    return mLimits.NextReports(kMaxLimitReports, event_loop::Now());
  };
  hooks.mOnLeafDeparture = [this](const serving::leaf_departure& aReport) {
    OnPeerDeparture(aReport);
  };
  hooks.mLeafDepartures = [this] {
    return mLeaves.NextDepartures(kMaxDepartureReports);
  };
  hooks.mOnPermitRequest = [this](const serving::permit_request& aRequest,
                                  const model::endpoint& aFrom) {
    mPermits.OnRequest(aRequest, aFrom, event_loop::Now());
  };
  hooks.mOnPermitReply = [this](const serving::permit_reply& aReply) {
    mPermits.OnReply(aReply, event_loop::Now(), event_loop::BootTime());
  };
  hooks.mSuspectedLeaves = [this] {
    return mLeaves.SuspectedLeaves(event_loop::Now());
  };
  AddQuarantineHooks(hooks);
  AddWorkspaceHooks(hooks);
  AddQuotaHooks(hooks);
  return hooks;
}

void
entry_instance::OnTick()
{
  mTickTimer.Start(kTickPeriod);
  const model::instant now = event_loop::Now();
  CheckTickGap(now);
  CheckSuspension(now);
  mControlPlane.OnTick(now);
  mQuota.OnTick();
  mCallerServer.OnTick(now);
  mReadinessServer.OnTick(now);
  if (mRelayServer) {
    mRelayServer->OnTick(now);
  }
  mLeaves.OnTick(mDispatcher.Config().get(), now);
  if (!mPendingObservations.empty() || !mPendingUnreachable.empty()) {
    mControlPlane.SendToDataCentrePeers(std::exchange(mPendingObservations, {}),
                                        std::exchange(mPendingUnreachable, {}),
                                        now);
  }
  if (!mPendingShardObservations.empty()) {
    mControlPlane.SendToRoots(std::exchange(mPendingShardObservations, {}),
                              now);
  }
  if (now >= mNextGossipRound) {
    mNextGossipRound = now + kFleetSettings.mGossipPeriod;
    OnGossipRound(now);
  }
  CheckReadiness(now);
  if (mStop) {
    AdvanceStop(now);
  }
  mSink->Drain();
}

void
entry_instance::OnGossipRound(model::instant aNow)
{
  mQuarantine.OnTimer(WallNow());
  mPermits.OnTimer(aNow);
  mLeaves.ForgetOldNotices(aNow);
  mControlPlane.OnGossipRound(aNow);
  mRetryBudget.SetInstanceCount(mControlPlane.Fleet().FleetSize(aNow).mTotal);
  UpdateRole(aNow);
  mDispatcher.SetConfigCurrent(mControlPlane.ConfigIsCurrent(aNow));
}

void
entry_instance::UpdateRole(model::instant aNow)
{
  const serving::routing_config* config = mDispatcher.Config().get();
  serving::root_duty::inputs inputs;
  inputs.mConfig = config;
  inputs.mRelayPort = mRelayServer ? mSettings.mRelayAddress.mPort : 0;
  inputs.mIsStopping = mStop.has_value();
  if (config != nullptr) {
    inputs.mLeafDataCentres = mLeaves.DataCentresOf(config->ShardServices());
    inputs.mReachableShards =
      mLeaves.ReachableFraction(config->ShardServices(), aNow);
  }
  const serving::fleet_membership& fleet = mControlPlane.Fleet();
  serving::root_role role = mRootDuty.Update(fleet, inputs, aNow);
  if (role.mUsesRoots != mRole.mUsesRoots || role.mAccepts != mRole.mAccepts ||
      role.mShardInstances.has_value() != mRole.mShardInstances.has_value()) {
    LogRole(role);
  }
  mRole = std::move(role);
  mRelay.SetRoots(mRole.mRoots);
  mDispatcher.SetUsesRelay(mRole.mUsesRoots && !mRole.mAccepts);
  mControlPlane.SetRelayPort(mRole.mAccepts ? inputs.mRelayPort : 0, aNow);
  mLeaves.AllocateConnections(
    config, fleet.FleetSize(aNow), mRole.mShardInstances);
}

void
entry_instance::LogRole(const serving::root_role& aRole) const
{
  mLog.Write(ops::log_level::Info,
             "root_role",
             { { "uses_roots", static_cast<long>(aRole.mUsesRoots) },
               { "accepts", static_cast<long>(aRole.mAccepts) },
               { "keeps_connections",
                 static_cast<long>(aRole.mShardInstances.has_value()) },
               { "roots", static_cast<long>(aRole.mRoots.size()) },
               { "instances",
                 static_cast<long>(mControlPlane.Fleet().KnownInstances(
                   event_loop::Now())) } });
}

void
entry_instance::CheckSuspension(model::instant aNow)
{
  const model::duration offset = BootOffset(aNow);
  if (offset - mBootOffset > kSuspensionGap) {
    mLog.Write(
      ops::log_level::Warning,
      "suspended",
      { { "ms",
          static_cast<double>((offset - mBootOffset).count()) / 1000.0 } });
    mDispatcher.OnResume(aNow);
    mControlPlane.OnResume(aNow);
  }
  mBootOffset = offset;
}

double
entry_instance::ReachableShare(const serving::routing_config& aConfig,
                               bool aHasRoot,
                               model::instant aNow) const
{
  if (!aHasRoot) {
    return mLeaves.ReachableFraction(aConfig.RoutedServices(), aNow);
  }
  const auto targets = static_cast<double>(aConfig.TargetServices().size());
  const auto shards = static_cast<double>(aConfig.ShardServices().size());
  const double reached =
    targets * mLeaves.ReachableFraction(aConfig.TargetServices(), aNow);
  return targets + shards == 0 ? 1 : (reached + shards) / (targets + shards);
}

void
entry_instance::CheckReadiness(model::instant aNow)
{
  double reachable = 0;
  double servable = 1;
  if (mDispatcher.Config()) {
    const bool hasRoot =
      mRole.mUsesRoots && !mRole.mAccepts && mRelay.HasRoot(aNow);
    reachable = ReachableShare(*mDispatcher.Config(), hasRoot, aNow);
    // Checked only while a data centre is unreachable: other instances may
    // reach its shards, whereas no instance can serve shards that have no
    // leaves anywhere.
    if (mLeaves.AnyDataCentreUnreachable()) {
      servable = mLeaves.ServableFraction(
        *mDispatcher.Config(), mDispatcher.Demand(), hasRoot, aNow);
    }
  }
  const bool ready = !mStop && reachable >= kMinReachableFraction &&
                     servable >= kMinServableFraction;
  if (ready != mReady) {
    mReady = ready;
    mLog.Write(ops::log_level::Info,
               ready ? "ready" : "not_ready",
               { { "reach", reachable },
                 { "servable", servable },
                 { "leaves", static_cast<long>(mLeaves.Size()) },
                 { "stopping", static_cast<long>(mStop.has_value()) } });
  }
}

void
entry_instance::Stop(const char* aReason)
{
  if (mStop) {
    return;
  }
  const model::instant now = event_loop::Now();
  mStop.emplace(now, mSettings.mStopBound);
  mLog.Write(
    ops::log_level::Info,
    "stopping",
    { { "reason", std::string(aReason) },
      { "connections", static_cast<long>(mCallerServer.Connections()) } });
  mCallerServer.SetCloseAfterAnswer(true);
  if (mRelayServer) {
    mRelayServer->SetCloseAfterAnswer(true);
  }
  UpdateRole(now); // Peers hand over no further queries.
  mControlPlane.SetLeaving(now);
  CheckReadiness(now);
}

void
entry_instance::AdvanceStop(model::instant aNow)
{
  const std::size_t connections =
    mCallerServer.Connections() +
    (mRelayServer ? mRelayServer->Connections() : 0);
  switch (mStop->CurrentStep(connections, aNow)) {
    case stop_sequence::step::Serve:
      return;
    case stop_sequence::step::CloseIdle:
      CloseIdleConnections();
      return;
    case stop_sequence::step::RefuseUnsent:
      CloseIdleConnections();
      AnswerAtStop(stop_answers::Unsent);
      return;
    case stop_sequence::step::AnswerAll:
      CloseIdleConnections();
      AnswerAtStop(stop_answers::All);
      return;
    case stop_sequence::step::Exit:
      // The process may not have run during the step before.
      AnswerAtStop(stop_answers::All);
      mLog.Write(
        ops::log_level::Info,
        "stopped",
        { { "connections", static_cast<long>(mCallerServer.Connections()) },
          { "ms",
            static_cast<double>((aNow - mStop->StartedAt()).count()) /
              1000.0 } });
      mSink->Drain();
      mLoop.Stop();
      return;
  }
}

void
entry_instance::CloseIdleConnections()
{
  for (uv_http_server* server : { &mCallerServer, mRelayServer.get() }) {
    if (server != nullptr) {
      server->StopAccepting();
      server->CloseIdle();
    }
  }
}

void
entry_instance::AnswerAtStop(stop_answers aWhich)
{
  mCallerServer.AnswerAtStop(aWhich);
  if (mRelayServer) {
    mRelayServer->AnswerAtStop(aWhich);
  }
}

void
entry_instance::Apply(const instance_settings& aSettings)
{
  mRetryBudget.SetSettings(aSettings.mRetryBudget);
  mControlPlane.SetSeeds(aSettings.mSeeds);
  mSettings.mStopBound = aSettings.mStopBound;
}

void
entry_instance::OnReachabilityChanged(const std::string& aDataCentre,
                                      bool aUnreachable,
                                      std::size_t aOverdue)
{
  LogReachability(aDataCentre,
                  aUnreachable,
                  aUnreachable
                    ? std::to_string(aOverdue) + " leaves do not respond"
                    : "a leaf answers");
  if (aUnreachable) {
    mPendingUnreachable.push_back(aDataCentre);
  }
}

void
entry_instance::LogReachability(const std::string& aDataCentre,
                                bool aUnreachable,
                                const std::string& aReason) const
{
  mLog.Write(aUnreachable ? ops::log_level::Warning : ops::log_level::Info,
             aUnreachable ? "way_lost" : "way_back",
             { { "data_centre", aDataCentre }, { "reason", aReason } });
}

void
entry_instance::OnConnectionOpened(const leaf_endpoint& /*aLeaf*/)
{
  mMetrics.Count("leaf_connections_opened");
}

void
entry_instance::OnExcessLatency(const leaf_endpoint& aLeaf,
                                model::duration aExcess)
{
  AddObservation(
    aLeaf,
    static_cast<std::int32_t>(
      std::chrono::floor<std::chrono::milliseconds>(aExcess).count()));
}

void
entry_instance::OnRateLimit(const leaf_endpoint& aLeaf,
                            std::optional<double> aPerSecond)
{
  const model::instant now = event_loop::Now();
  if (mLimits.OnAnswer(
        aLeaf.Entry().mId, aLeaf.Entry().mIncarnation, aPerSecond, now)) {
    LogLimit(aLeaf, "answer");
    mControlPlane.SendLeafLimits({ *mLimits.Report(aLeaf.Entry().mId, now) },
                                 now);
  }
}

void
entry_instance::ForgetLimits(const serving::leaf_directory::changes& aChanges)
{
  for (const std::string& id : aChanges.mRemovedIds) {
    mLimits.Forget(id);
  }
  for (const serving::leaf_registration& entry : aChanges.mChangedLeaves) {
    const leaf_endpoint* known = mLeaves.Find(entry.mId);
    if (known != nullptr && known->Entry().mIncarnation != entry.mIncarnation) {
      mLimits.Forget(entry.mId);
    }
  }
}

void
entry_instance::OnPeerLimit(const serving::leaf_limit_report& aReport)
{
  const leaf_endpoint* leaf = mLeaves.Find(aReport.mLeafId);
  if (leaf != nullptr && leaf->Entry().mIncarnation == aReport.mIncarnation &&
      mLimits.OnReport(aReport, event_loop::Now())) {
    LogLimit(*leaf, "peer");
  }
}

void
entry_instance::LogLimit(const leaf_endpoint& aLeaf, const char* aSource) const
{
  const auto limit = mLimits.Limit(aLeaf.Entry().mId);
  mLog.Write(ops::log_level::Info,
             limit ? "leaf_limit" : "leaf_limit_ended",
             { { "leaf", aLeaf.Entry().mId },
               { "service", aLeaf.Entry().mService },
               { "per_second", limit.value_or(0) },
               { "source", std::string(aSource) } });
}

void
entry_instance::OnRateLimitMalformed(const leaf_endpoint& aLeaf,
                                     const std::string& aValue)
{
  mMetrics.Count("leaf_limits_malformed");
  mLog.Write(ops::log_level::Warning,
             "leaf_limit_malformed",
             { { "leaf", aLeaf.Entry().mId }, { "value", aValue } });
}

void
entry_instance::OnAnswerMalformed(const leaf_endpoint& aLeaf,
                                  const std::string& aRequestId,
                                  const char* aDefect)
{
  mMetrics.Count("leaf_answers_malformed", { { "defect", aDefect } });
  mLog.Write(ops::log_level::Warning,
             "leaf_answer_malformed",
             { { "leaf", aLeaf.Entry().mId },
               { "service", aLeaf.Entry().mService },
               { "request", aRequestId },
               { "defect", std::string(aDefect) } });
}

void
entry_instance::OnLeavingNotice(const leaf_endpoint& aLeaf,
                                const std::string& aValue)
{
  if (aValue != "1") {
    if (aValue != "0") {
      OnMalformedField(aLeaf, "leaving", aValue);
    }
    return;
  }
  if (mLeaves.OnLeaving(aLeaf.Entry(), event_loop::Now(), WallNow())) {
    LogDeparture(aLeaf.Entry(), "answer");
  }
}

void
entry_instance::OnPeerDeparture(const serving::leaf_departure& aReport)
{
  if (mLeaves.OnPeerReport(aReport, event_loop::Now())) {
    LogDeparture(mLeaves.Find(aReport.mLeafId)->Entry(), "peer");
  }
}

void
entry_instance::LogDeparture(const serving::leaf_registration& aLeaf,
                             const char* aSource)
{
  mMetrics.Count("leaf_departures", { { "source", aSource } });
  mLog.Write(ops::log_level::Info,
             "leaf_leaving",
             { { "leaf", aLeaf.mId },
               { "service", aLeaf.mService },
               { "started_ms", static_cast<long>(aLeaf.mIncarnation) },
               { "source", std::string(aSource) } });
}

void
entry_instance::OnPauseNotice(const leaf_endpoint& aLeaf,
                              const std::string& aValue)
{
  const auto pause =
    serving::ParseRetryAfter(aValue, mSettings.mQuery.mMaxLeafPause);
  if (!pause) {
    OnMalformedField(aLeaf, "retry_after", aValue);
    return;
  }
  if (pause->mIsCut) {
    OnMalformedField(aLeaf, "retry_after", aValue);
  }
  const bool starts = mLeaves.OnPause(
    aLeaf.Entry(), pause->mDuration, event_loop::Now(), WallNow());
  mMetrics.Count("leaf_pauses");
  if (starts) {
    mLog.Write(
      ops::log_level::Info,
      "leaf_pause",
      { { "leaf", aLeaf.Entry().mId },
        { "service", aLeaf.Entry().mService },
        { "ms", static_cast<double>(pause->mDuration.count()) / 1000.0 } });
  }
}

void
entry_instance::OnMalformedField(const leaf_endpoint& aLeaf,
                                 const char* aField,
                                 const std::string& aValue)
{
  constexpr std::size_t kMaxLoggedBytes = 80;
  mMetrics.Count("leaf_fields_malformed", { { "field", aField } });
  const model::instant now = event_loop::Now();
  if (now < mNextMalformedFieldLog) {
    return;
  }
  mNextMalformedFieldLog = now + kMalformedFieldLogPeriod;
  mLog.Write(ops::log_level::Warning,
             "leaf_field_malformed",
             { { "leaf", aLeaf.Entry().mId },
               { "field", std::string(aField) },
               { "value", aValue.substr(0, kMaxLoggedBytes) } });
}

void
entry_instance::OnLeafError(const leaf_endpoint& aLeaf)
{
  AddObservation(aLeaf, std::nullopt);
}

void
entry_instance::AddObservation(const leaf_endpoint& aLeaf,
                               std::optional<std::int32_t> aExcessMs)
{
  const bool usedByRoots =
    mRole.mUsesRoots && !mDispatcher.Config()->IsTarget(aLeaf.Entry().mService);
  auto& pending =
    usedByRoots ? mPendingShardObservations : mPendingObservations;
  if (pending.size() < kMaxObservations) {
    pending.push_back({ aLeaf.Entry().mId, aExcessMs });
  }
}

void
entry_instance::OnConnectionEnded(const leaf_endpoint& aLeaf,
                                  const char* aReason)
{
  mMetrics.Count("leaf_connections_ended", { { "reason", aReason } });
  mLog.Write(ops::log_level::Info,
             "leaf_connection_ended",
             { { "leaf", aLeaf.Entry().mId },
               { "service", aLeaf.Entry().mService },
               { "reason", std::string(aReason) } });
}

void
entry_instance::OnRequest(const exchange_ptr& aExchange)
{
  const std::string& target = aExchange->Request().mTarget;
  http_response response;
  if (target == mSettings.mReadinessPath) {
    response.mStatus = mReady ? 200 : 503;
  } else if (target == "/metrics") {
    response.mFields.push_back({ "Content-Type", "text/plain" });
    response.mBody = mMetrics.Exposition();
  } else {
    response.mStatus = 404;
  }
  aExchange->Respond(response);
}

} // namespace monsooncroft::gateway
