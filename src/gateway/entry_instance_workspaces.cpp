/**
 * @file entry_instance_workspaces.cpp
 * Connects the parts that serve workspaces.
 */
#include "gateway/entry_instance_base.h"

namespace monsooncroft::gateway {

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
  mDispatcher.SetConfigReader(
    [this] { return mControlPlane.ReadNewestConfig(event_loop::Now()); });
}

} // namespace monsooncroft::gateway
