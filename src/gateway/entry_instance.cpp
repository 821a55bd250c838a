/**
 * @file entry_instance.cpp
 * An entry instance: everything wired together.
 */
#include "gateway/entry_instance_base.h"

#include "cluster/rendezvous_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <ctime>

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Timeouts of connections and duties are looked at so often. */
constexpr std::chrono::milliseconds kTick{ 50 };
constexpr serving::fleet_terms kFleetTerms{};
/** The clocks drift apart by more only if the machine stood still. */
constexpr std::chrono::milliseconds kSuspensionGap{ 700 };
/** Part of the routed services that must be in reach to take callers. */
constexpr double kReadyShare = 0.75;
/** Observations of leaves in one message, so that it fits a datagram. */
constexpr std::size_t kMostObserved = 48;
/** Part of the demand that must be servable while a way is lost. */
constexpr double kReadyDemand = 0.5;

model::duration
BootOffset(model::instant aNow)
{
  timespec boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot);
  return std::chrono::duration_cast<model::duration>(
           std::chrono::seconds(boot.tv_sec) +
           std::chrono::nanoseconds(boot.tv_nsec)) -
         aNow.time_since_epoch();
}

std::uint64_t
WallMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

serving::fleet_view
MakeFleet(const instance_settings& aSettings)
{
  serving::fleet_member self;
  self.mName = aSettings.mName;
  self.mDataCentre = aSettings.mDataCentre;
  self.mPeer = aSettings.mPeers;
  self.mIncarnation = WallMs();
  const std::uint64_t seed =
    cluster::HashOf(aSettings.mName) ^ self.mIncarnation;
  return { std::move(self), aSettings.mSeeds, kFleetTerms, seed };
}

/** Requests go as usual until a leaf has died with one of their content. */
once::quarantine_settings
QuarantineSettings()
{
  once::quarantine_settings settings;
  settings.mScreening = once::screening::Never;
  return settings;
}

model::wall_instant
WallNow()
{
  return model::wall_instant(std::chrono::milliseconds(WallMs()));
}

/** From 0 to 1, different for each instance. */
double
OffsetOf(const std::string& aName)
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
  , mBudget(mSettings.mBudget)
  , mQuarantine(QuarantineSettings())
  , mLeaves(aLoop,
            mSettings.mNames,
            *this,
            mSettings.mName,
            mSettings.mDataCentre)
  , mDesk({ aLoop,
            mSettings.mNames,
            mLeaves,
            mBudget,
            mQuarantine,
            mSettings.mQuery,
            aLog,
            aMetrics },
          OffsetOf(mSettings.mName))
  , mControl(aLoop,
             aStore,
             MakeFleet(mSettings),
             mSettings.mControl,
             MakeHooks(),
             aLog,
             aMetrics)
  , mCallers(aLoop, mSettings.mCallers, mDesk, aLog)
  , mReadiness(aLoop, mSettings.mReadiness, *this, aLog)
  , mTick(aLoop, [this] { OnTick(); })
  , mStarted(event_loop::Now())
  , mNextRound(mStarted)
  , mBootOffset(BootOffset(mStarted))
{
  mLog.Write(ops::log_level::Info,
             "started",
             { { "callers", mSettings.mCallers.ToString() },
               { "peers", mSettings.mPeers.ToString() },
               { "data_centre", mSettings.mDataCentre },
               { "seeds", static_cast<long>(mSettings.mSeeds.size()) } });
  OnTick();
}

entry_instance::~entry_instance() = default;

control_plane::hooks
entry_instance::MakeHooks()
{
  control_plane::hooks hooks;
  hooks.mOnConfig = [this](const serving::routing_config_ptr& aConfig) {
    mDesk.SetConfig(aConfig);
    mCallers.SetLimits(aConfig->Limits());
    const model::instant now = event_loop::Now();
    mLeaves.SetShares(aConfig.get(), mControl.Fleet().CountedInstances(now));
  };
  hooks.mOnLeaves = [this](const serving::leaf_directory::changes& aChanges) {
    const model::instant now = event_loop::Now();
    mLeaves.Apply(aChanges, now);
    mLeaves.SetShares(mDesk.Config().get(),
                      mControl.Fleet().CountedInstances(now));
    mLeaves.OnTick(mDesk.Config().get(), now);
  };
  hooks.mOnSuspicion = [this](const serving::leaf_suspicion& aSuspicion) {
    if (leaf_peer* leaf = mLeaves.Find(aSuspicion.mLeaf)) {
      leaf->Load().OnPeerSuspicion(
        event_loop::Now() + std::chrono::milliseconds(aSuspicion.mForMs));
    }
  };
  hooks.mOnObservation = [this](const serving::leaf_observation& aSeen) {
    if (leaf_peer* leaf = mLeaves.Find(aSeen.mLeaf)) {
      const model::instant now = event_loop::Now();
      if (aSeen.mExcessMs) {
        leaf->Load().OnPeerSample(std::chrono::milliseconds(*aSeen.mExcessMs),
                                  now);
      } else {
        leaf->Load().OnPeerUseless(now);
      }
    }
  };
  hooks.mOnWayLost = [this](const std::string& aDataCentre) {
    if (mLeaves.OnWayToldLost(aDataCentre)) {
      LogWay(aDataCentre, true, "told by a neighbour");
    }
  };
  hooks.mOnDeath = [this](const once::death_mark& aMark) {
    mQuarantine.Merge(aMark, WallNow());
  };
  hooks.mDeaths = [this] { return mQuarantine.Export(WallNow()); };
  hooks.mSuspects = [this] { return mLeaves.Suspects(event_loop::Now()); };
  return hooks;
}

void
entry_instance::OnTick()
{
  mTick.Start(kTick);
  const model::instant now = event_loop::Now();
  CheckSuspension(now);
  mControl.OnTick(now);
  mCallers.OnTick(now);
  mReadiness.OnTick(now);
  mLeaves.OnTick(mDesk.Config().get(), now);
  if (!mObserved.empty() || !mLostWays.empty()) {
    mControl.TellNeighbours(
      std::exchange(mObserved, {}), std::exchange(mLostWays, {}), now);
  }
  if (now >= mNextRound) {
    mNextRound = now + kFleetTerms.mPeriod;
    OnRound(now);
  }
  CheckReadiness(now);
  if (mStop) {
    StepStop(now);
  }
  mSink->Drain();
}

void
entry_instance::OnRound(model::instant aNow)
{
  mQuarantine.OnTimer(WallNow());
  mControl.OnRound(aNow);
  const serving::fleet_size instances = mControl.Fleet().CountedInstances(aNow);
  mBudget.SetInstances(instances.mAll);
  mLeaves.SetShares(mDesk.Config().get(), instances);
  mDesk.SetConfigCertain(mControl.ConfigCertain(aNow));
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
    mControl.OnWoke(aNow);
  }
  mBootOffset = offset;
}

void
entry_instance::CheckReadiness(model::instant aNow)
{
  double reach = 0;
  double servable = 1;
  if (mDesk.Config()) {
    reach = mLeaves.Reachable(mDesk.Config()->RoutedServices(), aNow);
    // Shards that are gone everywhere send callers nowhere; those behind a
    // lost way others can reach.
    if (mLeaves.AnyWayLost()) {
      servable = mLeaves.Servable(*mDesk.Config(), mDesk.Demand(), aNow);
    }
  }
  const bool ready = !mStop && reach >= kReadyShare && servable >= kReadyDemand;
  if (ready != mReady) {
    mReady = ready;
    mLog.Write(ops::log_level::Info,
               ready ? "ready" : "not_ready",
               { { "reach", reach },
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
  mLog.Write(ops::log_level::Info,
             "stopping",
             { { "reason", std::string(aReason) },
               { "connections", static_cast<long>(mCallers.Connections()) } });
  mCallers.SetCloseAfterAnswer(true);
  mControl.SetLeaving(now);
  CheckReadiness(now);
}

void
entry_instance::StepStop(model::instant aNow)
{
  switch (mStop->Step(mCallers.Connections(), aNow)) {
    case stop_sequence::step::Serve:
      return;
    case stop_sequence::step::EndIdle:
      mCallers.StopAccepting();
      mCallers.CloseIdle();
      return;
    case stop_sequence::step::Exit:
      mLog.Write(
        ops::log_level::Info,
        "stopped",
        { { "connections", static_cast<long>(mCallers.Connections()) },
          { "ms",
            static_cast<double>((aNow - mStop->Begun()).count()) / 1000.0 } });
      mSink->Drain();
      mLoop.Stop();
      return;
  }
}

void
entry_instance::Apply(const instance_settings& aSettings)
{
  mBudget.SetTerms(aSettings.mBudget);
  mControl.SetSeeds(aSettings.mSeeds);
  mSettings.mStopBound = aSettings.mStopBound;
}

void
entry_instance::OnWay(const std::string& aDataCentre,
                      bool aLost,
                      std::size_t aOverdue)
{
  LogWay(aDataCentre,
         aLost,
         aLost ? std::to_string(aOverdue) + " leaves stand still"
               : "a leaf answers");
  if (aLost) {
    mLostWays.push_back(aDataCentre);
  }
}

void
entry_instance::LogWay(const std::string& aDataCentre,
                       bool aLost,
                       const std::string& aReason) const
{
  mLog.Write(aLost ? ops::log_level::Warning : ops::log_level::Info,
             aLost ? "way_lost" : "way_back",
             { { "data_centre", aDataCentre }, { "reason", aReason } });
}

void
entry_instance::OnLinkOpened(const leaf_peer& /*aLeaf*/)
{
  mMetrics.Count("leaf_connections_opened");
}

void
entry_instance::OnSpeed(const leaf_peer& aLeaf, model::duration aExcess)
{
  Observe(aLeaf,
          static_cast<std::int32_t>(
            std::chrono::floor<std::chrono::milliseconds>(aExcess).count()));
}

void
entry_instance::OnUseless(const leaf_peer& aLeaf)
{
  Observe(aLeaf, std::nullopt);
}

void
entry_instance::Observe(const leaf_peer& aLeaf,
                        std::optional<std::int32_t> aExcessMs)
{
  if (mObserved.size() < kMostObserved) {
    mObserved.push_back({ aLeaf.Entry().mId, aExcessMs });
  }
}

void
entry_instance::OnLeafDied(const leaf_peer& aLeaf,
                           const once::suspicion& aSuspicion)
{
  const once::death_mark mark = mQuarantine.Confirm(aSuspicion, WallNow());
  mMetrics.Count("leaf_deaths");
  mLog.Write(ops::log_level::Warning,
             "leaf_died",
             { { "leaf", aLeaf.Entry().mId },
               { "service", aLeaf.Entry().mService },
               { "content", once::ToHex(aSuspicion.mContent) } });
  mControl.TellDeath(mark, event_loop::Now());
}

void
entry_instance::OnLinkLost(const leaf_peer& aLeaf, const char* aReason)
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
