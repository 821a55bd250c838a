/**
 * @file entry_instance_workspaces.cpp
 * Connects the parts that serve workspaces.
 */
#include "gateway/entry_instance_base.h"

#include "ops/log_base.h"

#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Time between two ticks that shows that the process did not run: twenty times
 * the usual one, and well below the time in which a configuration applies. */
constexpr std::chrono::milliseconds kMaxTickGap{ 1'000 };

} // namespace

void
entry_instance::AddWorkspaceHooks(control_plane::hooks& aHooks)
{
  aHooks.mOnConfigConfirmed = [this](model::instant aAt) {
    mDispatcher.OnConfigConfirmed(aAt);
  };
}

void
entry_instance::ConnectWorkspaces()
{
  mDispatcher.SetAdmission(&mQuota);
  mDispatcher.SetConfigReader(
    [this] { return mControlPlane.ReadNewestConfig(event_loop::Now()); });
}

void
entry_instance::CheckTickGap(model::instant aNow)
{
  const model::duration gap = aNow - std::exchange(mLastTickAt, aNow);
  if (gap > kMaxTickGap) {
    mLog.Write(ops::log_level::Warning,
               "stalled",
               { { "ms", static_cast<double>(gap.count()) / 1000.0 } });
    mDispatcher.OnResume(aNow);
  }
}

} // namespace monsooncroft::gateway
