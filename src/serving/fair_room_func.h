/**
 * @file fair_room_func.h
 * Admission of workspaces' queries to a root's limited room.
 */
#ifndef MONSOONCROFT_SERVING_FAIR_ROOM_FUNC_H
#define MONSOONCROFT_SERVING_FAIR_ROOM_FUNC_H

#include <cstddef>

namespace monsooncroft::serving {

/**
 * Whether a further query of a workspace is admitted. One workspace sends many
 * times its usual queries and would fill all room; the more of it is used, the
 * fewer queries a workspace may have there: at most twice the free room. One
 * alone gets two thirds of the room, and some always remains for those that
 * have none there.
 * @param aOfWorkspace Queries of the workspace in progress.
 * @param aInProgress Queries of all in progress.
 * @param aRoom Most queries in progress.
 */
constexpr bool
HasRoomFor(std::size_t aOfWorkspace, std::size_t aInProgress, std::size_t aRoom)
{
  constexpr std::size_t kFactor = 2;
  return aInProgress < aRoom && aOfWorkspace < kFactor * (aRoom - aInProgress);
}

} // namespace monsooncroft::serving

#endif
