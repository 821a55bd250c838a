/**
 * @file quota_client.cpp
 * Charges requests to the quotas of their workspaces.
 */
#include "gateway/quota_client_base.h"

#include "cluster/rendezvous_func.h"
#include "gateway/event_loop_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Present time of the quotas' clock, which goes on while the machine is
 * suspended. */
model::instant
BootNow()
{
  return model::instant(event_loop::BootTime());
}

serving::quota_limit
LimitOf(const serving::workspace& aWorkspace)
{
  return { aWorkspace.mRatePerSecond, aWorkspace.mBurst };
}

double
ToMs(model::duration aTime)
{
  return static_cast<double>(aTime.count()) / 1'000.0;
}

} // namespace

quota_client::quota_client(event_loop& aLoop,
                           serving::quota_peers& aPeers,
                           const serving::quota_settings& aSettings,
                           const ops::log& aLog,
                           ops::metrics& aMetrics,
                           std::uint64_t aSeed)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mAgent(aPeers, *this, aSettings, aSeed)
  , mTimer(aLoop, [this] { OnTick(); })
{
}

quota_client::~quota_client() = default;

void
quota_client::Admit(const serving::workspace& aWorkspace,
                    model::instant /*aNow*/,
                    callback aDone)
{
  const bool hasWork = mAgent.Admit(
    cluster::HashOf(aWorkspace.mName),
    LimitOf(aWorkspace),
    [done = std::move(aDone)](const serving::quota_outcome& aOutcome) {
      done({ aOutcome.mAdmitted, aOutcome.mRetryAfter });
    },
    BootNow());
  if (hasWork) {
    ScheduleFlush();
  }
}

void
quota_client::ScheduleFlush()
{
  if (!std::exchange(*mFlushScheduled, true)) {
    mLoop.Defer([this, scheduled = std::weak_ptr(mFlushScheduled)] {
      if (!scheduled.expired()) {
        Flush();
      }
    });
  }
}

void
quota_client::Flush()
{
  *mFlushScheduled = false;
  mAgent.Flush(BootNow());
  StartTimer();
}

void
quota_client::StartTimer()
{
  if (const auto next = mAgent.NextTimer()) {
    mTimer.Start(std::max(*next - BootNow(), model::duration(0)));
  } else {
    mTimer.Stop();
  }
}

void
quota_client::SetConfig(const serving::routing_config& aConfig)
{
  serving::quota_ledger::limits limits;
  mNames.clear();
  for (const serving::workspace& workspace : aConfig.Workspaces()) {
    const serving::workspace_hash hash = cluster::HashOf(workspace.mName);
    limits.emplace(hash, LimitOf(workspace));
    mNames.emplace(hash, workspace.mName);
  }
  mAgent.SetLimits(limits, BootNow());
}

void
quota_client::OnMessage(const serving::quota_message& aMessage,
                        std::uint64_t aSender,
                        const model::endpoint& aFrom)
{
  mAgent.OnMessage(aMessage, aSender, aFrom, BootNow());
  ScheduleFlush(); // Reports what the replies have admitted.
}

void
quota_client::OnTick()
{
  mAgent.OnTimer(BootNow());
  StartTimer();
}

serving::quota_status
quota_client::Status(const serving::workspace& aWorkspace) const
{
  return mAgent.Status(
    cluster::HashOf(aWorkspace.mName), LimitOf(aWorkspace), BootNow());
}

void
quota_client::OnQuotaChange(const serving::quota_change& aChange)
{
  const auto name = mNames.find(aChange.mWorkspace);
  mMetrics.Count("quota_changes",
                 { { "to", aChange.mRestricted ? "restricted" : "open" } });
  mLog.Write(
    ops::log_level::Info,
    aChange.mRestricted ? "workspace_restricted" : "workspace_open",
    { { "workspace", name == mNames.end() ? std::string() : name->second },
      { "level", aChange.mLevel },
      { "capacity", aChange.mCapacity },
      { "per_second", aChange.mRatePerSecond },
      { "known", static_cast<long>(mPeers.KnownInstances()) },
      { "reachable", static_cast<long>(mPeers.ReachableInstances()) },
      { "since_ms", ToMs(aChange.mAge) } });
}

void
quota_client::OnQuotaSilence(serving::quota_group aGroup,
                             bool aSilent,
                             model::duration aHeardAge)
{
  mMetrics.Count(aSilent ? "quota_issuers_silent" : "quota_issuers_back");
  const serving::quota_keepers keepers = mPeers.Keepers(aGroup);
  mLog.Write(
    aSilent ? ops::log_level::Warning : ops::log_level::Info,
    aSilent ? "quota_own_share" : "quota_own_share_ended",
    { { "group", static_cast<long>(aGroup) },
      { "issuer", keepers.mIssuer.mPeer.ToString() },
      { "deputy",
        keepers.mDeputy ? keepers.mDeputy->mPeer.ToString() : std::string() },
      { "heard_ms", aHeardAge.count() < 0 ? -1.0 : ToMs(aHeardAge) },
      { "known", static_cast<long>(mPeers.KnownInstances()) } });
}

void
quota_client::OnQuotaDecision(serving::quota_source aSource, bool aAdmitted)
{
  const char* source = "open";
  if (aSource == serving::quota_source::Issuer) {
    source = "issuer";
  } else if (aSource == serving::quota_source::OwnShare) {
    source = "own_share";
  }
  mMetrics.Count(aAdmitted ? "quota_admitted" : "quota_refused",
                 { { "by", source } });
}

void
quota_client::OnQuotaEvent(const char* aEvent)
{
  mMetrics.Count("quota_events", { { "event", aEvent } });
}

} // namespace monsooncroft::gateway
