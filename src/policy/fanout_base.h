/**
 * @file fanout_base.h
 * Fan-out of one query, or of a group of its shards.
 */
#ifndef MONSOONCROFT_POLICY_FANOUT_BASE_H
#define MONSOONCROFT_POLICY_FANOUT_BASE_H

#include "policy/fanout_type.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsooncroft::policy {

class extra_attempt_budget;
class hedge_policy;

/**
 * Decides which attempts are sent to which targets, and when the fan-out ends.
 * Each event handler returns the effects to carry out, in order.
 *
 * After an attempt that provably did not run, the next candidate is tried
 * without charge, since no leaf did any work. Hedges, retries after an attempt
 * that may have run, and second rounds over the candidates are charged to the
 * budget. A shard of a request that is not idempotent has one attempt in flight
 * at a time, and no further attempt after one that may have run.
 */
class fanout
{
public:
  /**
   * @param aPlan Shards, candidates and limits.
   * @param aHedge Returns the hedge delay at each send; outlives this object.
   * @param aBudget Budget of extra attempts; outlives this object.
   * @param aSeed Seed of the back-off jitter.
   * @param aSettings Back-off between rounds.
   */
  fanout(fanout_plan aPlan,
         const hedge_policy& aHedge,
         extra_attempt_budget& aBudget,
         std::uint32_t aSeed,
         fanout_settings aSettings = {});

  fanout_effects Start(model::instant aNow); ///< Called once, first.

  /**
   * Handles the end of an attempt. A result is ignored if its attempt is
   * unknown or has already ended, or if it names another shard. A result of
   * another snapshot is not used and counts as an error.
   */
  fanout_effects OnResult(const model::attempt_result& aResult,
                          model::instant aNow);
  fanout_effects OnTimer(model::instant aNow);  ///< NextWake() is due.
  fanout_effects OnCancel(model::instant aNow); ///< No answer is wanted.

  /**
   * Stops further attempts at shards that may have run, for a request that is
   * suspected of having crashed a backend server.
   */
  void ForbidExtraAttempts() { mExtraAttemptsForbidden = true; }

  /** Time at which OnTimer() is due; empty once finished. */
  std::optional<model::instant> NextWake() const;
  bool Finished() const { return mFinished; }
  bool MayHaveRun() const; ///< Whether any shard ran or may have run.
  /** Whether aShard ran or may have run. @pre The plan contains aShard. */
  bool MayHaveRun(const model::shard_id& aShard) const;

  /**
   * Whether a shard ended because the pinned snapshot is not held, and the
   * whole query may run again at another snapshot.
   */
  bool CanReplan() const;

  const fanout_plan& Plan() const { return mPlan; }
  fanout_report Report() const; ///< Final once finished.

private:
  /** A candidate target and the outcome of its last attempt. */
  struct candidate
  {
    target_id mTarget;
    int mAttemptCount = 0;
    bool mInFlight = false; ///< An attempt is in flight.
    /** Empty before the first attempt has ended. */
    std::optional<model::attempt_outcome> mLastOutcome;
  };

  /** Progress of one shard. */
  struct shard_progress
  {
    model::shard_id mShard;
    std::vector<candidate> mCandidates;
    /** In the order of sending. */
    std::vector<model::attempt_id> mInFlightAttempts;
    bool mClosed = false; ///< No further attempt is sent.
    bool mAnswered = false;
    bool mMayHaveRun = false; ///< An ended or cancelled attempt may have run.
    bool mNotHeld = false;
    bool mHedged = false;
    int mBackoffs = 0; ///< Number of back-offs so far.
    /** The next round is already charged to the budget. */
    bool mNextRoundPaid = false;
    /** Set only if no attempt is in flight. */
    std::optional<model::instant> mRetryAt;
    /** Set only if one attempt is in flight. */
    std::optional<model::instant> mHedgeAt;
    model::attempt_result mLastResult;
  };

  /** An attempt in flight. */
  struct in_flight_attempt
  {
    std::size_t mShardIndex = 0;     ///< Index into mShards.
    std::size_t mCandidateIndex = 0; ///< Index into the shard's candidates.
    bool mExtra = false;             ///< Charged to the budget.
  };

  void Send(std::size_t aShardIndex,
            std::size_t aCandidate,
            bool aExtra,
            model::instant aNow,
            fanout_effects& aEffects);
  void SendNext(std::size_t aShardIndex,
                model::instant aNow,
                fanout_effects& aEffects);
  void Retry(std::size_t aShardIndex,
             model::instant aNow,
             fanout_effects& aEffects);
  void Hedge(std::size_t aShardIndex,
             model::instant aNow,
             fanout_effects& aEffects);
  bool TryStartNextRound(std::size_t aShardIndex);
  void BackOff(std::size_t aShardIndex,
               model::instant aNow,
               fanout_effects& aEffects);
  void Accept(std::size_t aShardIndex, fanout_effects& aEffects);
  void CloseShard(std::size_t aShardIndex, fanout_effects& aEffects);
  void CancelInFlight(shard_progress& aProgress, fanout_effects& aEffects);
  void Finish(fanout_effects& aEffects);
  void SetTimers(std::size_t aShardIndex,
                 std::optional<model::instant> aRetryAt,
                 std::optional<model::instant> aHedgeAt);
  void RecordOutcome(const model::attempt_result& aResult,
                     model::attempt_outcome aOutcome,
                     const in_flight_attempt& aInFlight);
  bool MayRetry(const shard_progress& aProgress) const;
  static bool ShardMayHaveRun(const shard_progress& aProgress);
  static std::optional<std::size_t> NextCandidate(
    const shard_progress& aProgress);

  fanout_plan mPlan;
  const hedge_policy& mHedge;
  extra_attempt_budget& mBudget;
  fanout_settings mSettings;
  std::minstd_rand mRandom; ///< For back-off jitter.
  std::vector<shard_progress> mShards;
  std::unordered_map<model::attempt_id, in_flight_attempt> mInFlightAttempts;
  /** By time and shard index. */
  std::set<std::pair<model::instant, std::size_t>> mTimers;
  std::size_t mOpenShards = 0;     ///< Number of shards that are not closed.
  std::uint64_t mAttemptsSent = 0; ///< Number of attempts sent so far.
  bool mExtraAttemptsForbidden = false;
  bool mFinished = false;
};

} // namespace monsooncroft::policy

#endif
