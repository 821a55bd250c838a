/**
 * @file query_execution_base.h
 * Execution of one request on leaves.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_EXECUTION_BASE_H
#define MONSOONCROFT_GATEWAY_QUERY_EXECUTION_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/leaf_attempt_type.h"
#include "gateway/loop_timer_base.h"
#include "gateway/query_context_type.h"
#include "gateway/query_plan_type.h"
#include "serving/answer_rule_func.h"
#include "serving/retry_budget_base.h"

#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class leaf_endpoint;

/** Sends a request to leaves, with hedges and retries, and answers it. */
class query_execution
  : public attempt_observer
  , public std::enable_shared_from_this<query_execution>
{
public:
  query_execution(const query_context& aContext,
                  exchange_ptr aExchange,
                  query_plan aPlan);
  void Start();
  /** When a partial answer to the plan's query is sent to its caller. */
  static model::instant PartialAnswerAt(const query_settings& aSettings,
                                        const exchange& aExchange,
                                        const query_plan& aPlan);
  void OnAttemptEnd(leaf_attempt& aAttempt, attempt_result aResult) override;
  void OnAttemptAdmitted(leaf_attempt& aAttempt) override;
  std::size_t RequiredPermits() const override;

private:
  /** State of one shard of a fan-out, or of the only service. */
  struct shard_state
  {
    std::vector<leaf_attempt_ptr> mOutstanding; ///< Attempts without a result.
    /** Ids of leaves in order of the attempts. */
    std::vector<std::string> mTriedLeaves;
    int mAttemptCount = 0; ///< Attempts that reached a leaf or may have.
    bool mAnswered = false;
    bool mFailed = false;  ///< No further attempt is made.
    bool mOmitted = false; ///< Not sent, because its answer would be late.
    bool mHeld = false;    ///< Not sent before the other shards have permits.
    /** The only outstanding attempt waits for a permit. */
    bool mAwaitsPermit = false;
    /** A hedge or retry waits for the answer to a request for attempts. */
    bool mAwaitsGrant = false;
    /** Expected latency when the shard was omitted. */
    model::duration mExpectedLatency{ 0 };
    model::instant mHedgeAt;
    http_message mAnswer;
  };

  /** Takes an extra attempt for each shard; those without one fail. */
  void TakeResendBudget(model::instant aNow);
  /** @return Number of shards without a reachable leaf. */
  std::size_t OmitLateShards(model::instant aNow);
  bool RestoreOmittedShard(model::instant aNow);
  /** Holds the shards that need no permit if too few of them could answer. */
  void HoldForPermits(model::instant aNow);
  void SendHeldShards(model::instant aNow);
  /** The shorter the route's target latency, the more urgent its requests. */
  int TargetLatencyMs() const;
  /** Whether all usable leaves of a shard are over their rate limit or have
   * asked for a pause. */
  bool IsUnavailable(std::size_t aShardIndex, model::instant aNow) const;
  /** Time until a leaf of the shard accepts this request; 0 if one does now. */
  model::duration ShardReturnDelay(std::size_t aShardIndex,
                                   model::instant aNow);
  void FailShard(std::size_t aShardIndex, model::instant aNow);
  bool StartAttempt(std::size_t aShardIndex, model::instant aNow);
  void SendAttempt(std::size_t aShardIndex,
                   leaf_endpoint& aLeaf,
                   bool aIsHedge,
                   model::instant aNow);
  /** Whether a further attempt at a shard is within those of the query. */
  enum class extra_attempt : std::uint8_t
  {
    Permitted,
    AwaitsGrant, ///< The instance that sent the query has been asked.
    Denied,
  };

  /** Handles a shard without an attempt in flight after one that has ended. */
  void Retry(std::size_t aShardIndex, bool aMayHaveRun, model::instant aNow);
  extra_attempt PermitExtraAttempt(std::size_t aShardIndex);
  void AskForAttempts(); ///< Asks the instance that sent the query, once.
  /** When something is to be done for a shard that has no answer. */
  model::instant WakeTime(const shard_state& aShard) const;
  /** The instance that sent the query answers a request for attempts. */
  void OnGrant(const http_message& aMessage, model::instant aNow);
  /** Takes an extra attempt from the retry budget. */
  bool TakeBudget(std::size_t aShardIndex,
                  serving::retry_budget::purpose aPurpose,
                  model::instant aNow);
  void Hedge(std::size_t aShardIndex, model::instant aNow);
  leaf_endpoint* ChooseLeaf(std::size_t aShardIndex,
                            bool aUntriedOnly,
                            model::instant aNow);
  void OnAnswer(shard_state& aShard, http_message aAnswer);
  void OnWake();
  void Evaluate(model::instant aNow);
  void ScheduleWake(model::instant aNow);
  void Answer(model::instant aNow);
  void GiveUp(model::instant aNow);
  /** Whether the request may run or have run on a leaf. */
  bool MayHaveBeenSent() const;
  void OnStop(stop_answers aWhich, model::instant aNow);
  void Finish(const http_response* aResponse,
              const char* aOutcome,
              model::instant aNow);
  /** @param aStatus Of the answer; 0: there is none. */
  void LogEnd(int aStatus,
              const char* aOutcome,
              model::duration aLatency,
              model::duration aAnswerTime) const;
  /** Shards with several attempts, with the leaves that were tried. */
  std::string FormatExtraAttempts() const;
  /** Unanswered shards with the leaves that were tried. */
  std::string FormatMissingShards() const;
  model::duration HedgeDelay(const leaf_endpoint& aLeaf,
                             model::instant aNow) const;

  query_context mContext;
  exchange_ptr mExchange;
  query_plan mPlan;
  std::shared_ptr<const leaf_request> mLeafRequest;
  std::vector<shard_state> mShards;
  serving::answer_requirements mRequirements;
  std::size_t mAnsweredShards = 0;
  std::size_t mFailedShards = 0;
  int mMaxAttempts = 1; ///< Attempts that may be made at each shard.
  /** Further ones that the instance that sent the query has not granted yet. */
  int mReservedAttempts = 0;
  bool mAskedForAttempts = false;
  int mAttemptCount = 0;
  int mHedgeCount = 0;
  int mOmittedShards = 0;
  int mDeniedAttempts = 0; ///< Extra attempts that the budget did not allow.
  /** An attempt may have run without a usable answer. */
  bool mMayHaveRun = false;
  bool mDone = false;
  const char* mLastReason = "";
  /** Failure answered by a leaf, forwarded if no attempt succeeds. */
  http_message mLeafFailure;
  /** Keeps this object alive until the answer. */
  std::shared_ptr<query_execution> mSelf;
  model::instant mWakeAt;
  loop_timer mTimer;
};

} // namespace monsooncroft::gateway

#endif
