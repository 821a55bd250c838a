/**
 * @file member_view_base.h
 * Immutable snapshot of the members that are not dead.
 */
#ifndef MONSOONCROFT_CLUSTER_MEMBER_VIEW_BASE_H
#define MONSOONCROFT_CLUSTER_MEMBER_VIEW_BASE_H

#include "cluster/member_type.h"

#include <map>
#include <memory>
#include <vector>

namespace monsooncroft::cluster {

/** Members of one data centre, sorted by id. */
using member_list = std::vector<member>;
using member_list_ptr = std::shared_ptr<const member_list>;

/**
 * Members by data centre. The lists of unchanged data centres are shared with
 * the previous view.
 */
class member_view
{
public:
  using lists = std::map<model::data_centre_id, member_list_ptr>;

  member_view(std::uint64_t aEpoch, lists aLists);

  /** Increases with every change of a member. */
  std::uint64_t Epoch() const { return mEpoch; }
  const lists& Lists() const { return mLists; }
  member_list_ptr MembersIn(const model::data_centre_id& aDataCentre)
    const; ///< Never null; empty if no member of the data centre is known.
  const member* Find(const model::instance_id& aId) const; ///< Null if unknown.
  std::size_t Count() const; ///< Members of all data centres.

private:
  std::uint64_t mEpoch;
  lists mLists;
};

using member_view_ptr = std::shared_ptr<const member_view>;

} // namespace monsooncroft::cluster

#endif
