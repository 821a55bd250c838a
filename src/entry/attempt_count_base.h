/**
 * @file attempt_count_base.h
 * Counts the attempts of one run over leaves.
 */
#ifndef MONSOONCROFT_ENTRY_ATTEMPT_COUNT_BASE_H
#define MONSOONCROFT_ENTRY_ATTEMPT_COUNT_BASE_H

#include "entry/ranked_mutex_base.h"
#include "model/attempt_type.h"

#include <map>

namespace monsooncroft::ops {
class metrics;
}

namespace monsooncroft::entry {

/**
 * Tells first attempts, retries and hedges apart: a hedge starts while another
 * attempt at the shard is open. Thread safe; lock rank Innermost.
 */
class attempt_count
{
public:
  /** @param aMetrics Gets the counts; outlives this. */
  explicit attempt_count(ops::metrics& aMetrics);

  void OnSend(const model::shard_id& aShard); ///< Handed to a leaf's gate.
  void OnEnd(const model::attempt_result& aResult); ///< The attempt is over.

private:
  /** Attempts at one shard. */
  struct tally
  {
    int mSent = 0; ///< So far.
    int mOpen = 0; ///< Not ended.
  };

  ops::metrics& mMetrics;
  ranked_mutex mMutex{ lock_rank::Innermost };
  std::map<model::shard_id, tally> mShards;
};

} // namespace monsooncroft::entry

#endif
