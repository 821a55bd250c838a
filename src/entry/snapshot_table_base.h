/**
 * @file snapshot_table_base.h
 * Index versions of each service, as the owners report them.
 */
#ifndef MONSOONCROFT_ENTRY_SNAPSHOT_TABLE_BASE_H
#define MONSOONCROFT_ENTRY_SNAPSHOT_TABLE_BASE_H

#include "entry/leaf_table_base.h"
#include "policy/snapshot_view_base.h"

#include <map>
#include <vector>

namespace monsooncroft::entry {

/** One view a service that was asked for. Thread safe; lock rank Tables. */
class snapshot_table
{
public:
  void OnHeld(const model::service_id& aService,
              const std::vector<held_row>& aRows);

  /** The version to pin; nothing if no leaf reported one. */
  std::optional<model::index_version> Pick(const model::service& aService,
                                           model::manifest_version aManifest);

  /** Another version after the pinned one was not held. */
  std::optional<model::index_version> NextAfterNotHeld(
    const model::service& aService,
    model::index_version aPinned);

  std::vector<model::service_id> Services() const; ///< Those asked for.

private:
  mutable ranked_mutex mMutex{ lock_rank::Tables };
  std::map<model::service_id, policy::snapshot_view> mViews;
};

} // namespace monsooncroft::entry

#endif
