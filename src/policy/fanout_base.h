/**
 * @file fanout_base.h
 * The fan-out of one query, or of one group of it, over shards.
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
 * Decides what is sent where and when the fan-out is over. Each event returns
 * the effects that the caller has to carry out, in order.
 *
 * A candidate whose attempt provably did not run is followed by the next one
 * at no charge, since no leaf did any work; hedges, retries after an attempt
 * that may have run, and second rounds over candidates are paid from the
 * budget. Not idempotent: one attempt at a time, and none after one that may
 * have run.
 */
class fanout
{
public:
  /**
   * @param aPlan What to do.
   * @param aHedge Asked for the hedge delay at each send; outlives this.
   * @param aBudget Pays for extra attempts; outlives this.
   * @param aSeed Seed of the back-off jitter.
   * @param aSettings Pauses between rounds.
   */
  fanout(fanout_plan aPlan,
         const hedge_policy& aHedge,
         extra_attempt_budget& aBudget,
         std::uint32_t aSeed,
         fanout_settings aSettings = {});

  fanout_effects Start(model::instant aNow); ///< Once, before other events.

  /**
   * An attempt's end. An unknown, closed or repeated attempt, or one of
   * another shard, changes nothing. A result of another snapshot is not used
   * and counts as an error.
   */
  fanout_effects OnResult(const model::attempt_result& aResult,
                          model::instant aNow);
  fanout_effects OnTimer(model::instant aNow);  ///< NextWake() is reached.
  fanout_effects OnCancel(model::instant aNow); ///< The answer is not wanted.

  /**
   * From now on nothing is sent to a shard that may have run, for a request
   * that is suspected of having killed a backend server.
   */
  void ForbidExtraAttempts() { mExtraAttemptsForbidden = true; }

  /** When OnTimer is due; nothing once finished. */
  std::optional<model::instant> NextWake() const;
  bool Finished() const { return mFinished; }
  bool MayHaveRun() const; ///< Some shard ran or may have run.
  /** Whether this shard ran or may have run. @pre It is in the plan. */
  bool MayHaveRun(const model::shard_id& aShard) const;

  /**
   * Whether some shard ended because the pinned snapshot is not held, and
   * running the whole query at another one is allowed.
   */
  bool CanReplan() const;

  const fanout_plan& Plan() const { return mPlan; }
  fanout_report Report() const; ///< Final once finished.

private:
  /** A candidate and how its last attempt ended. */
  struct candidate
  {
    target_id mTarget;
    int mAttemptCount = 0;
    bool mInFlight = false; ///< An attempt is under way.
    std::optional<model::attempt_outcome>
      mLastOutcome; ///< Of the last attempt.
  };

  /** One shard's progress. */
  struct shard_progress
  {
    model::shard_id mShard;
    std::vector<candidate> mCandidates;
    std::vector<model::attempt_id> mInFlightAttempts; ///< Attempts under way.
    bool mClosed = false; ///< Nothing more will be sent.
    bool mAnswered = false;
    bool mMayHaveRun = false; ///< Some ended attempt may have run.
    bool mNotHeld = false;
    bool mHedged = false;
    int mBackoffs = 0; ///< Back-offs taken.
    bool mNextRoundPaid =
      false; ///< The next round is paid from the budget already.
    std::optional<model::instant> mRetryAt; ///< Nothing is under way.
    std::optional<model::instant> mHedgeAt; ///< One attempt is under way.
    model::attempt_result mLastResult;
  };

  /** An attempt under way. */
  struct in_flight_attempt
  {
    std::size_t mShardIndex = 0;     ///< Index into mRuns.
    std::size_t mCandidateIndex = 0; ///< Index into its candidates.
    bool mExtra = false;             ///< Paid from the budget.
  };

  void Send(std::size_t aRun,
            std::size_t aCandidate,
            bool aExtra,
            model::instant aNow,
            fanout_effects& aOut);
  void SendNext(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  void Retry(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  void Hedge(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  bool TryStartNextRound(std::size_t aRun);
  void BackOff(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  void Accept(std::size_t aRun, fanout_effects& aOut);
  void CloseShard(std::size_t aRun, fanout_effects& aOut);
  void CancelInFlight(shard_progress& aRun, fanout_effects& aOut);
  void Finish(fanout_effects& aOut);
  void SetTimers(std::size_t aRun,
                 std::optional<model::instant> aRetryAt,
                 std::optional<model::instant> aHedgeAt);
  void RecordOutcome(const model::attempt_result& aResult,
                     model::attempt_outcome aOutcome,
                     const in_flight_attempt& aOpen);
  bool MayRetry(const shard_progress& aRun) const;
  static bool ShardMayHaveRun(const shard_progress& aRun);
  static std::optional<std::size_t> NextCandidate(const shard_progress& aRun);

  fanout_plan mPlan;
  const hedge_policy& mHedge;
  extra_attempt_budget& mBudget;
  fanout_settings mSettings;
  std::minstd_rand mRandom; ///< Jitter only.
  std::vector<shard_progress> mShards;
  std::unordered_map<model::attempt_id, in_flight_attempt> mInFlightAttempts;
  std::set<std::pair<model::instant, std::size_t>> mTimers; ///< By time, run.
  std::size_t mOpenShards = 0;     ///< Shards still open.
  std::uint64_t mAttemptsSent = 0; ///< Attempts sent so far.
  bool mExtraAttemptsForbidden = false;
  bool mFinished = false;
};

} // namespace monsooncroft::policy

#endif
