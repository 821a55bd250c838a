/**
 * @file entry_instance_quarantine.cpp
 * Requests that were in flight at leaves that crashed.
 */
#include "gateway/entry_instance_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_endpoint_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

namespace monsooncroft::gateway {

namespace {

model::wall_instant
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

} // namespace

void
entry_instance::AddQuarantineHooks(control_plane::hooks& aHooks)
{
  aHooks.mOnCrashMark = [this](const once::crash_mark& aMark) {
    const once::suspicion& suspicion = aMark.mSuspicion;
    if (mQuarantine.Merge(aMark, WallNow()) && !aMark.mCleared &&
        mRecentAnswers.Contains(
          suspicion.mContent, suspicion.mService, event_loop::Now())) {
      // Not sent at once: most peers have answers of their own, and gossip
      // takes the cleared mark to the others.
      ClearMarks(suspicion.mContent, suspicion.mService);
    }
  };
  aHooks.mCrashMarks = [this] { return mQuarantine.UnexpiredMarks(WallNow()); };
}

std::vector<once::crash_mark>
entry_instance::ClearMarks(const once::content_hash& aContent,
                           const model::service_id& aService)
{
  auto cleared = mQuarantine.OnServiceAnswered(aContent, aService, WallNow());
  for (const once::crash_mark& mark : cleared) {
    mMetrics.Count("crash_marks_cleared");
    mLog.Write(ops::log_level::Info,
               "crash_mark_cleared",
               { { "service", mark.mSuspicion.mService.Value() },
                 { "content", once::ToHex(mark.mSuspicion.mContent) } });
  }
  return cleared;
}

void
entry_instance::OnLeafCrashed(const leaf_endpoint& aLeaf,
                              const once::suspicion& aSuspicion)
{
  const once::crash_mark mark =
    mQuarantine.ConfirmSuspicion(aSuspicion, WallNow());
  mMetrics.Count("leaf_deaths");
  mLog.Write(ops::log_level::Warning,
             "leaf_died",
             { { "leaf", aLeaf.Entry().mId },
               { "service", aLeaf.Entry().mService },
               { "content", once::ToHex(aSuspicion.mContent) } });
  const model::instant now = event_loop::Now();
  if (mRecentAnswers.Contains(aSuspicion.mContent, aSuspicion.mService, now)) {
    mControlPlane.SendCrashMarks(
      ClearMarks(aSuspicion.mContent, aSuspicion.mService), now);
  } else {
    mControlPlane.SendCrashMarks({ mark }, now);
  }
}

void
entry_instance::OnRequestAnswered(const leaf_endpoint& aLeaf,
                                  const once::content_hash& aContent,
                                  model::instant aNow)
{
  const model::service_id service(aLeaf.Entry().mService);
  mRecentAnswers.Add(aContent, service, aNow);
  if (mQuarantine.HasUnclearedMarks(aContent)) {
    mControlPlane.SendCrashMarks(ClearMarks(aContent, service), aNow);
  }
}

} // namespace monsooncroft::gateway
