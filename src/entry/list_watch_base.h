/**
 * @file list_watch_base.h
 * Follows the platform's instance list, sparing the platform.
 */
#ifndef MONSOONCROFT_ENTRY_LIST_WATCH_BASE_H
#define MONSOONCROFT_ENTRY_LIST_WATCH_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"
#include "policy/drain_table_base.h"

#include <map>
#include <optional>
#include <set>

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::peer {
class cluster_node;
}

namespace monsooncroft::store {
class instance_list;
}

namespace monsooncroft::entry {

class leaf_table;

/** What the watch uses; all outlives it. */
struct list_parts
{
  store::instance_list& mList;
  leaf_table& mLeaves;
  const ops::log& mLog;
  model::instance_id mSelf;
  model::data_centre_id mDataCentre;
};

/**
 * The data centre's listeners read the list each time and tell the others;
 * the rest read it seldom. Used by one thread.
 */
class list_watch
{
public:
  explicit list_watch(list_parts aParts);

  /** Reads the list if it is time to, and tells this instance's own marks. */
  void Poll(peer::cluster_node& aNode, model::instant aNow);

private:
  using mark_name = std::pair<model::leaf_id, policy::drain_signal>;

  void Read(peer::cluster_node& aNode, bool aListener);
  void TellListed(peer::cluster_node& aNode,
                  const std::set<model::leaf_id>& aLeaving);
  void TellOwn(peer::cluster_node& aNode, model::instant aNow);

  list_parts mParts;
  std::optional<model::instant> mRead;       ///< When the list was read last.
  std::map<mark_name, model::instant> mTold; ///< Marks and when they were told.
  std::set<model::leaf_id> mListed;          ///< Leaving in the last list.
};

} // namespace monsooncroft::entry

#endif
