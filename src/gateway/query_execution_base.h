/**
 * @file query_execution_base.h
 * One request on its way.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_EXECUTION_BASE_H
#define MONSOONCROFT_GATEWAY_QUERY_EXECUTION_BASE_H

#include "gateway/leaf_attempt_type.h"
#include "gateway/loop_timer_base.h"
#include "gateway/request_dispatcher_base.h"
#include "serving/answer_rule_func.h"

#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class leaf_endpoint;

/** Sends a request to leaves, hedges and retries, and answers the caller. */
class query_execution
  : public attempt_observer
  , public std::enable_shared_from_this<query_execution>
{
public:
  /** What was decided about the request before it began. */
  struct plan
  {
    serving::routing_config_ptr mConfig; ///< Keeps the route alive.
    const serving::route* mRoute = nullptr;
    std::vector<std::string> mServices; ///< One, or the shards.
    std::shared_ptr<serving::route_latency> mLatency;
    std::string mRequestId;
    model::instant mDeadline;
    bool mSingleAttempt = false; ///< A leaf died with it: one leaf a shard.
  };

  query_execution(const query_context& aContext,
                  exchange_ptr aExchange,
                  plan aPlan);
  void Start();
  void OnAttemptEnd(leaf_attempt& aAttempt, attempt_result aResult) override;

private:
  /** One shard, or the one service. */
  struct shard_state
  {
    std::vector<leaf_attempt_ptr> mOutstanding; ///< Outstanding.
    std::vector<std::string> mTriedLeaves;      ///< Leaves, in order.
    int mAttemptCount = 0; ///< That reached a leaf or may have.
    bool mAnswered = false;
    bool mFailed = false;  ///< No further attempt is possible.
    bool mOmitted = false; ///< Left out so far, because it would be late.
    model::duration mExpectedLatency{
      0
    }; ///< Latency for which it was left out.
    model::instant mHedgeAt;
    http_message mAnswer;
  };

  /** @return Shards of which no leaf is in reach. */
  std::size_t OmitLateShards(model::instant aNow);
  bool RestoreOmittedShard(model::instant aNow);
  void FailShard(std::size_t aPart, model::instant aNow);
  bool StartAttempt(std::size_t aPart, model::instant aNow);
  void SendAttempt(std::size_t aPart,
                   leaf_endpoint& aLeaf,
                   model::instant aNow);
  bool MayRetry(std::size_t aPart, bool aMayHaveRun, model::instant aNow);
  void Hedge(std::size_t aPart, model::instant aNow);
  leaf_endpoint* ChooseLeaf(std::size_t aPart,
                            bool aFreshOnly,
                            model::instant aNow);
  void OnAnswer(shard_state& aPart, http_message aAnswer);
  void OnWake();
  void Evaluate(model::instant aNow);
  void ScheduleWake(model::instant aNow);
  void Answer(model::instant aNow);
  void GiveUp(model::instant aNow);
  void Finish(const http_response* aResponse,
              const char* aOutcome,
              model::instant aNow);
  std::string FormatMissingShards()
    const; ///< Shards without answer, with leaves.
  model::duration HedgeDelay(const leaf_endpoint& aLeaf,
                             model::instant aNow) const;

  query_context mContext;
  exchange_ptr mExchange;
  plan mPlan;
  std::shared_ptr<const leaf_request> mLeafRequest;
  std::vector<shard_state> mShards;
  serving::answer_requirements mRequirements;
  std::size_t mAnsweredShards = 0;
  std::size_t mFailedShards = 0;
  int mAttemptCount = 0;
  int mHedgeCount = 0;
  int mOmittedShards = 0;
  bool mMayHaveRun = false; ///< An attempt ended without a proof.
  bool mDone = false;
  const char* mLastReason = "";
  http_message
    mLeafFailure; ///< A leaf's own failure, passed on as the last way.
  std::shared_ptr<query_execution> mSelf; ///< Until the answer.
  model::instant mWakeAt;
  loop_timer mTimer;
};

} // namespace monsooncroft::gateway

#endif
