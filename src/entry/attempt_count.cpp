/**
 * @file attempt_count.cpp
 * Counting attempts and how they ended.
 */
#include "entry/attempt_count_base.h"

#include "ops/metrics_base.h"

#include <mutex>

namespace monsooncroft::entry {

namespace {

const char*
Word(model::attempt_outcome aOutcome)
{
  switch (aOutcome) {
    case model::attempt_outcome::NotSent:
      return "not_sent";
    case model::attempt_outcome::Refused:
      return "refused";
    case model::attempt_outcome::NotHeld:
      return "not_held";
    case model::attempt_outcome::Ok:
      return "ok";
    case model::attempt_outcome::Error:
      return "error";
    case model::attempt_outcome::Lost:
      return "lost";
  }
  return "unknown";
}

} // namespace

attempt_count::attempt_count(ops::metrics& aMetrics)
  : mMetrics(aMetrics)
{
}

void
attempt_count::OnSend(const model::shard_id& aShard)
{
  const char* counter = "leaf_first_attempts";
  {
    const std::lock_guard lock(mMutex);
    tally& shard = mShards[aShard];
    if (shard.mSent > 0) {
      counter = shard.mOpen > 0 ? "leaf_hedges" : "leaf_retries";
    }
    ++shard.mSent;
    ++shard.mOpen;
  }
  mMetrics.Count(counter);
}

void
attempt_count::OnEnd(const model::attempt_result& aResult)
{
  {
    const std::lock_guard lock(mMutex);
    --mShards[aResult.mShard].mOpen;
  }
  mMetrics.Count(
    "leaf_attempt_ends",
    { { "outcome", Word(aResult.mOutcome) }, { "reason", aResult.mReason } });
}

} // namespace monsooncroft::entry
