/**
 * @file permit_client_base.h
 * Sends attempts to leaves that limit their rate, as far as permits allow.
 */
#ifndef MONSOONCROFT_GATEWAY_PERMIT_CLIENT_BASE_H
#define MONSOONCROFT_GATEWAY_PERMIT_CLIENT_BASE_H

#include "gateway/leaf_attempt_type.h"
#include "serving/leaf_limit_table_base.h"
#include "serving/local_permits_base.h"
#include "serving/permit_issuer_base.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace monsooncroft::ops {
class metrics;
}

namespace monsooncroft::gateway {

class event_loop;
class leaf_table;
class loop_timer;
class permit_peers;

/**
 * Obtains a permit for each attempt at a leaf that names a rate limit; hedges
 * and retries included. Attempts without one end as not sent, so that another
 * replica is tried, the shard is left out or the request is refused at once.
 */
class permit_client
{
public:
  permit_client(event_loop& aLoop,
                leaf_table& aLeaves,
                serving::leaf_limit_table& aLimits,
                permit_peers& aPeers,
                ops::metrics& aMetrics,
                std::uint64_t aSeed);
  ~permit_client();
  permit_client(const permit_client&) = delete;
  permit_client& operator=(const permit_client&) = delete;
  permit_client(permit_client&&) = delete;
  permit_client& operator=(permit_client&&) = delete;

  /** What decides between attempts if there are too few permits. */
  struct terms
  {
    std::string mServiceGroup; ///< See routing_config::GroupOf().
    int mTargetLatencyMs = 0;  ///< Of the route; the lowest is served first.
    bool mIsHedge = false;
  };

  bool IsLimited(const std::string& aLeafId) const
  {
    return mLimits.Limit(aLeafId).has_value();
  }
  /** Sends an attempt to its leaf as soon as there is a permit, or ends it as
   * not sent. */
  void Submit(leaf_attempt_ptr aAttempt, const terms& aTerms);
  /**
   * When a caller whose request was refused for lack of permits should return.
   * Successive callers get successive times, at this instance's share of the
   * limits.
   * @param aTargetLatencyMs Of the route.
   */
  model::duration ReturnDelay(const std::string& aService,
                              int aTargetLatencyMs,
                              model::instant aNow);

  /** A peer asks this instance for permits. */
  void OnRequest(const serving::permit_request& aRequest,
                 const model::endpoint& aFrom,
                 model::instant aNow);
  /** @param aBootTime See event_loop::BootTime(). */
  void OnReply(const serving::permit_reply& aReply,
               model::instant aNow,
               model::duration aBootTime);
  void OnTimer(model::instant aNow);

private:
  struct batch
  {
    serving::permit_request mRequest;
    std::vector<leaf_attempt_ptr> mAttempts; ///< In the order of its leaves.
    model::endpoint mIssuer;
    std::unique_ptr<loop_timer> mTimer; ///< Ends the wait for the reply.
    model::duration mRequestedAt{ 0 };  ///< Boot time of the request.
  };

  void Flush();
  void Request(batch aBatch, model::instant aNow);
  void OnTimeout(std::uint64_t aId);
  void DecideLocally(batch& aBatch, model::instant aNow);
  void Settle(const batch& aBatch,
              const std::vector<serving::permit_decision>& aDecisions,
              model::instant aNow);

  event_loop& mLoop;
  leaf_table& mLeaves;
  serving::leaf_limit_table& mLimits;
  permit_peers& mPeers;
  ops::metrics& mMetrics;
  serving::permit_issuer mIssuer;
  serving::local_permits mLocal;
  std::vector<batch> mCollected; ///< Of this loop iteration, one per query.
  std::unordered_map<std::uint64_t, batch> mPending; ///< Sent to an issuer.
  std::map<model::endpoint, model::instant> mSilentUntil; ///< By issuer.
  /** Return time of the caller that was refused last, by service. */
  std::unordered_map<std::string, model::instant> mLastReturn;
  std::uint64_t mNextId;
};

} // namespace monsooncroft::gateway

#endif
