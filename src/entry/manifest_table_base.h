/**
 * @file manifest_table_base.h
 * The manifest in force and the few before it that queries still pin.
 */
#ifndef MONSOONCROFT_ENTRY_MANIFEST_TABLE_BASE_H
#define MONSOONCROFT_ENTRY_MANIFEST_TABLE_BASE_H

#include "cluster/ownership_base.h"
#include "entry/ranked_mutex_base.h"
#include "model/manifest_base.h"

#include <deque>

namespace monsooncroft::entry {

/** Manifests by version, and who owns what. Thread safe; lock rank Tables. */
class manifest_table
{
public:
  /** @param aOwnersPerGroup Owners of a group; 0: every instance is direct. */
  explicit manifest_table(std::size_t aOwnersPerGroup);

  /**
   * Puts a manifest in force.
   * @return False, and nothing changes, unless its version is higher.
   */
  bool Adopt(const model::manifest_ptr& aManifest);
  void SetView(const cluster::member_view_ptr& aView); ///< Members changed.

  model::manifest_ptr Current() const; ///< Null before the first.
  model::manifest_ptr Find(
    model::manifest_version aVersion) const; ///< Null if not kept.
  cluster::ownership_ptr Owners() const;     ///< Null before both are known.
  cluster::member_view_ptr View() const;     ///< Null before the first.

private:
  void Rebuild();

  std::size_t mOwnersPerGroup;
  mutable ranked_mutex mMutex{ lock_rank::Tables };
  std::deque<model::manifest_ptr> mKept; ///< Newest first.
  cluster::member_view_ptr mView;
  cluster::ownership_ptr mOwners;
};

} // namespace monsooncroft::entry

#endif
