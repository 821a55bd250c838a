/**
 * @file snapshot_table.cpp
 * Locking around the views.
 */
#include "entry/snapshot_table_base.h"

#include "entry/clock_func.h"

namespace monsooncroft::entry {

void
snapshot_table::OnHeld(const model::service_id& aService,
                       const std::vector<held_row>& aRows)
{
  if (aRows.empty()) {
    return;
  }
  const model::instant now = Now();
  const std::lock_guard lock(mMutex);
  policy::snapshot_view& view = mViews[aService];
  for (const held_row& row : aRows) {
    view.OnHeldVersions(row.mShard, row.mLeaf, row.mHeld, now);
  }
}

std::optional<model::index_version>
snapshot_table::Pick(const model::service& aService,
                     model::manifest_version aManifest)
{
  const std::lock_guard lock(mMutex);
  policy::snapshot_view& view = mViews[aService.mId];
  view.ForgetStale(Now());
  return view.PickVersion(aService, aManifest);
}

std::optional<model::index_version>
snapshot_table::NextAfterNotHeld(const model::service& aService,
                                 model::index_version aPinned)
{
  const std::lock_guard lock(mMutex);
  return mViews[aService.mId].NextAfterNotHeld(aService, aPinned);
}

std::vector<model::service_id>
snapshot_table::Services() const
{
  const std::lock_guard lock(mMutex);
  std::vector<model::service_id> services;
  for (const auto& [service, view] : mViews) {
    services.push_back(service);
  }
  return services;
}

} // namespace monsooncroft::entry
