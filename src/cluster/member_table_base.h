/**
 * @file member_table_base.h
 * Members of all data centres with their digests and views.
 */
#ifndef MONSOONCROFT_CLUSTER_MEMBER_TABLE_BASE_H
#define MONSOONCROFT_CLUSTER_MEMBER_TABLE_BASE_H

#include "cluster/digest_type.h"
#include "cluster/member_view_base.h"

#include <map>
#include <set>
#include <vector>

namespace monsooncroft::cluster {

/** The newest claim about every member, dead members included. */
class member_table
{
public:
  /**
   * Merges a claim about a member.
   * @return Whether the claim superseded the known one.
   */
  bool Merge(const member& aClaim);
  void Erase(const model::instance_id& aId);

  const member* Find(const model::instance_id& aId) const; ///< Null if unknown.
  const std::map<model::instance_id, member>& All() const { return mMembers; }
  member_view_ptr View() const; ///< The current view, rebuilt only after a
                                ///< change.

  std::map<model::data_centre_id, bucket_digests> Digests() const
  {
    return mDigests;
  }
  std::vector<member> DifferingMembers(
    const model::data_centre_id& aDataCentre,
    const bucket_digests& aTheirs) const; ///< Members in the buckets whose
                                          ///< digests differ, dead members
                                          ///< included.

private:
  void ToggleInDigest(const member& aMember); ///< Adds an entry to its bucket's
                                              ///< digest or removes it.
  void MarkChanged(const model::data_centre_id& aDataCentre);

  std::map<model::instance_id, member> mMembers;
  std::map<model::data_centre_id, bucket_digests>
    mDigests; ///< Digests without dead members; suspects hash like alive
              ///< members.
  std::uint64_t mEpoch = 0;
  mutable std::set<model::data_centre_id>
    mChangedDataCentres; ///< Data centres changed since mView was built.
  mutable member_view_ptr mView;
};

} // namespace monsooncroft::cluster

#endif
