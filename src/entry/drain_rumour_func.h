/**
 * @file drain_rumour_func.h
 * Drain marks as entries of the rumour table.
 */
#ifndef MONSOONCROFT_ENTRY_DRAIN_RUMOUR_FUNC_H
#define MONSOONCROFT_ENTRY_DRAIN_RUMOUR_FUNC_H

#include "cluster/gossip_update_type.h"
#include "policy/drain_table_base.h"

#include <optional>

namespace monsooncroft::entry {

/** A mark as another instance told it. */
struct told_mark
{
  policy::drain_mark mMark;
  bool mListed = false; ///< From the instance list.
  bool mLifted = false; ///< The list shows the leaf live again.
};

/**
 * Writes a mark.
 * @param aTold The mark; its age is counted back from @p aWall.
 * @param aWall Present wall-clock time.
 */
cluster::gossip_update
WriteDrainRumour(const told_mark& aTold, model::wall_instant aWall);

/** Reads a mark; nothing for another or a malformed entry. */
std::optional<told_mark>
ReadDrainRumour(const cluster::gossip_update& aRumour);

} // namespace monsooncroft::entry

#endif
