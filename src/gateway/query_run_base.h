/**
 * @file query_run_base.h
 * One request on its way.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_RUN_BASE_H
#define MONSOONCROFT_GATEWAY_QUERY_RUN_BASE_H

#include "gateway/leaf_attempt_type.h"
#include "gateway/loop_timer_base.h"
#include "gateway/query_desk_base.h"
#include "serving/answer_rule_func.h"

#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class leaf_peer;

/** Sends a request to leaves, hedges and retries, and answers the caller. */
class query_run
  : public attempt_observer
  , public std::enable_shared_from_this<query_run>
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
    bool mOnceOnly = false; ///< A leaf died with it: one leaf a shard.
  };

  query_run(const query_context& aContext, exchange_ptr aExchange, plan aPlan);
  void Start();
  void OnAttemptEnd(leaf_attempt& aAttempt, attempt_result aResult) override;

private:
  /** One shard, or the one service. */
  struct part
  {
    std::vector<leaf_attempt_ptr> mAttempts; ///< Outstanding.
    std::vector<std::string> mTried;         ///< Leaves, in order.
    int mSends = 0; ///< That reached a leaf or may have.
    bool mAnswered = false;
    bool mLost = false;    ///< No further attempt is possible.
    bool mOmitted = false; ///< Left out so far, because it would be late.
    model::duration mExpected{ 0 }; ///< Latency for which it was left out.
    model::instant mHedgeAt;
    http_message mAnswer;
  };

  /** @return Shards of which no leaf is in reach. */
  std::size_t LeaveOutLate(model::instant aNow);
  bool TakeUpOmitted(model::instant aNow);
  void Lose(std::size_t aPart, model::instant aNow);
  bool Place(std::size_t aPart, model::instant aNow);
  void Submit(std::size_t aPart, leaf_peer& aLeaf, model::instant aNow);
  bool MayTryAgain(std::size_t aPart, bool aMayHaveRun, model::instant aNow);
  void Hedge(std::size_t aPart, model::instant aNow);
  leaf_peer* Choose(std::size_t aPart, bool aFreshOnly, model::instant aNow);
  void OnAnswer(part& aPart, http_message aAnswer);
  void OnWake();
  void Evaluate(model::instant aNow);
  void SetWake(model::instant aNow);
  void Answer(model::instant aNow);
  void GiveUp(model::instant aNow);
  void Finish(const http_response* aResponse,
              const char* aOutcome,
              model::instant aNow);
  std::string MissingText() const; ///< Shards without answer, with leaves.
  model::duration HedgeDelay(const leaf_peer& aLeaf, model::instant aNow) const;

  query_context mContext;
  exchange_ptr mExchange;
  plan mPlan;
  std::shared_ptr<const request_text> mText;
  std::vector<part> mParts;
  serving::answer_terms mTerms;
  std::size_t mAnswered = 0;
  std::size_t mLostParts = 0;
  int mSends = 0;
  int mHedges = 0;
  int mOmitted = 0;
  bool mMayHaveRun = false; ///< An attempt ended without a proof.
  bool mDone = false;
  const char* mLastReason = "";
  http_message mFailure; ///< A leaf's own failure, passed on as the last way.
  std::shared_ptr<query_run> mSelf; ///< Until the answer.
  model::instant mWake;
  loop_timer mTimer;
};

} // namespace monsooncroft::gateway

#endif
