/**
 * @file query_run_type.h
 * A send of a query at its root, and its messages to owners.
 */
#ifndef MONSOONCROFT_TEST_MATRIX_QUERY_RUN_TYPE_H
#define MONSOONCROFT_TEST_MATRIX_QUERY_RUN_TYPE_H

#include "matrix/query_world.h"

namespace monsooncroft::test {

constexpr model::duration kDeadline{ 200'000 };
constexpr model::duration kReplyMargin{ 5'000 }; ///< Of an owner.

/** One send of a query at its root. */
struct query_world::query_run
{
  std::size_t mSend = 0;
  world_entry* mRoot = nullptr;
  model::request_id mRequest;
  model::query mQuery;
  bool mIdempotent = true;
  model::instant mDeadline;
  std::optional<model::wall_instant> mSendBefore;
  once::screening_permit mPassage = once::screening_permit::Unrestricted;
  bool mHasTurn = false; ///< Among suspects.
  model::manifest_ptr mManifest;
  model::index_version mSnapshot = 0;
  std::vector<std::vector<model::shard_id>> mRounds; ///< Still to be run.
  bool mReplanned = false;
  bool mRanBefore = false; ///< At another snapshot.
  policy::fanout_report mReport;
  fanout_ptr mFanout;
  reply mDone;

  const model::service& Service() const { return mManifest->Services()[0]; }
};

/** One message to an owner. */
struct query_world::relay
{
  run_ptr mRun;
  fanout_ptr mRoot; ///< The root's fan-out that waits for it.
  world_entry* mOwner = nullptr;
  std::vector<policy::send_effect> mSends;
  model::index_version mSnapshot = 0;
  fanout_ptr mFanout; ///< The owner's.
};

} // namespace monsooncroft::test

#endif
