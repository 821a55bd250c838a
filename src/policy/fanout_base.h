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

class attempt_budget;
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
         attempt_budget& aBudget,
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
  void ForbidExtra() { mExtraForbidden = true; }

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
    int mTries = 0;
    bool mOpen = false;                         ///< An attempt is under way.
    std::optional<model::attempt_outcome> mEnd; ///< Of the last attempt.
  };

  /** One shard's progress. */
  struct shard_run
  {
    model::shard_id mShard;
    std::vector<candidate> mCandidates;
    std::vector<model::attempt_id> mOpen; ///< Attempts under way.
    bool mClosed = false;                 ///< Nothing more will be sent.
    bool mAnswered = false;
    bool mMaybeRan = false; ///< Some ended attempt may have run.
    bool mNotHeld = false;
    bool mHedged = false;
    int mRound = 0;     ///< Back-offs taken.
    bool mPaid = false; ///< The next round is paid from the budget already.
    std::optional<model::instant> mRetryAt; ///< Nothing is under way.
    std::optional<model::instant> mHedgeAt; ///< One attempt is under way.
    model::attempt_result mLast;
  };

  /** An attempt under way. */
  struct open_attempt
  {
    std::size_t mRun = 0;       ///< Index into mRuns.
    std::size_t mCandidate = 0; ///< Index into its candidates.
    bool mExtra = false;        ///< Paid from the budget.
  };

  void Send(std::size_t aRun,
            std::size_t aCandidate,
            bool aExtra,
            model::instant aNow,
            fanout_effects& aOut);
  void SendNext(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  void Retry(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  void Hedge(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  bool StartsNextRound(std::size_t aRun);
  void BackOff(std::size_t aRun, model::instant aNow, fanout_effects& aOut);
  void Accept(std::size_t aRun, fanout_effects& aOut);
  void Close(std::size_t aRun, fanout_effects& aOut);
  void CancelOpen(shard_run& aRun, fanout_effects& aOut);
  void Finish(fanout_effects& aOut);
  void SetTimers(std::size_t aRun,
                 std::optional<model::instant> aRetryAt,
                 std::optional<model::instant> aHedgeAt);
  void RecordEnd(const model::attempt_result& aResult,
                 model::attempt_outcome aOutcome,
                 const open_attempt& aOpen);
  bool MayTryAgain(const shard_run& aRun) const;
  static bool Ran(const shard_run& aRun);
  static std::optional<std::size_t> NextCandidate(const shard_run& aRun);

  fanout_plan mPlan;
  const hedge_policy& mHedge;
  attempt_budget& mBudget;
  fanout_settings mSettings;
  std::minstd_rand mRandom; ///< Jitter only.
  std::vector<shard_run> mRuns;
  std::unordered_map<model::attempt_id, open_attempt> mAttempts;
  std::set<std::pair<model::instant, std::size_t>> mWakes; ///< By time, run.
  std::size_t mUnclosed = 0; ///< Shards still open.
  std::uint64_t mSent = 0;   ///< Attempts sent so far.
  bool mExtraForbidden = false;
  bool mFinished = false;
};

} // namespace monsooncroft::policy

#endif
