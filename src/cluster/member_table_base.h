/**
 * @file member_table_base.h
 * All members of all data centres with digests and views.
 */
#ifndef MONSOONCROFT_CLUSTER_MEMBER_TABLE_BASE_H
#define MONSOONCROFT_CLUSTER_MEMBER_TABLE_BASE_H

#include "cluster/digest_type.h"
#include "cluster/member_view_base.h"

#include <map>
#include <set>
#include <vector>

namespace monsooncroft::cluster {

/** Everything known about members, dead ones included. */
class member_table
{
public:
  /**
   * Takes a claim in.
   * @return Whether it superseded what was known.
   */
  bool Merge(const member& aClaim);
  void Erase(const model::instance_id& aId);

  const member* Find(const model::instance_id& aId) const; ///< Null if unknown.
  const std::map<model::instance_id, member>& All() const { return mMembers; }
  member_view_ptr View() const; ///< Built again only after a change.

  std::map<model::data_centre_id, bucket_digests> Digests() const
  {
    return mDigests;
  }
  std::vector<member> DifferingMembers(
    const model::data_centre_id& aDataCentre,
    const bucket_digests& aTheirs) const; ///< Members of the buckets whose
                                          ///< digests differ, dead included.

private:
  void ToggleInDigest(
    const member& aMember); ///< Adds to or removes from the digest.
  void MarkChanged(const model::data_centre_id& aDataCentre);

  std::map<model::instance_id, member> mMembers;
  std::map<model::data_centre_id, bucket_digests>
    mDigests; ///< Without dead members; suspects count as alive.
  std::uint64_t mEpoch = 0;
  mutable std::set<model::data_centre_id>
    mChangedDataCentres; ///< Changed since mView.
  mutable member_view_ptr mView;
};

} // namespace monsooncroft::cluster

#endif
