/**
 * @file permit_client.cpp
 * Sends attempts to leaves that limit their rate, as far as permits allow.
 */
#include "gateway/permit_client_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_table_base.h"
#include "gateway/loop_timer_base.h"
#include "gateway/permit_peers_base.h"
#include "model/time_func.h"
#include "ops/metrics_base.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Several round trips between data centres, and the delay on a slow machine.
 */
constexpr std::chrono::milliseconds kReplyTimeout{ 40 };
/** Age of a permit at which it is no longer used: an issuer's bucket allows a
 * burst of half a second. */
constexpr std::chrono::milliseconds kMaxPermitAge{ 250 };
/** Time for which an issuer that did not reply is not asked again. */
constexpr std::chrono::milliseconds kSilencePeriod{ 500 };
/** Longest time that a caller is told to wait. */
constexpr std::chrono::seconds kMaxReturnDelay{ 3 };

constexpr const char* kOverLimit = "over the leaf's limit";

} // namespace

permit_client::permit_client(event_loop& aLoop,
                             leaf_table& aLeaves,
                             serving::leaf_limit_table& aLimits,
                             permit_peers& aPeers,
                             ops::metrics& aMetrics,
                             std::uint64_t aSeed)
  : mLoop(aLoop)
  , mLeaves(aLeaves)
  , mLimits(aLimits)
  , mPeers(aPeers)
  , mMetrics(aMetrics)
  , mLocal(aSeed)
  , mNextId(aSeed) // Replies to an earlier process of this name do not match.
{
}

permit_client::~permit_client() = default;

void
permit_client::Submit(leaf_attempt_ptr aAttempt, const terms& aTerms)
{
  if (mCollected.empty()) {
    mLoop.Defer([this] { Flush(); });
  }
  // One request for all attempts that a query starts together.
  const auto same = [&](const batch& aBatch) {
    return aBatch.mAttempts.front()->mRequest == aAttempt->mRequest &&
           aBatch.mRequest.mServiceGroup == aTerms.mServiceGroup &&
           aBatch.mRequest.mIsHedge == aTerms.mIsHedge;
  };
  auto position = std::find_if(mCollected.begin(), mCollected.end(), same);
  if (position == mCollected.end()) {
    batch started;
    started.mRequest.mServiceGroup = aTerms.mServiceGroup;
    started.mRequest.mTargetLatencyMs = aTerms.mTargetLatencyMs;
    started.mRequest.mIsHedge = aTerms.mIsHedge;
    position = mCollected.insert(mCollected.end(), std::move(started));
  }
  position->mAttempts.push_back(std::move(aAttempt));
}

void
permit_client::Flush()
{
  const model::instant now = event_loop::Now();
  for (batch& each : std::exchange(mCollected, {})) {
    batch limited;
    limited.mRequest = std::move(each.mRequest);
    for (leaf_attempt_ptr& attempt : each.mAttempts) {
      if (attempt->mObserver) {
        limited.mRequest.mLeaves.push_back(
          { attempt->mLeafId, mLimits.Limit(attempt->mLeafId).value_or(0) });
        limited.mAttempts.push_back(std::move(attempt));
      }
    }
    if (!limited.mAttempts.empty()) {
      limited.mRequest.mId = mNextId++;
      limited.mRequest.mRequired =
        limited.mAttempts.front()->mObserver->RequiredPermits();
      Request(std::move(limited), now);
    }
  }
}

void
permit_client::Request(batch aBatch, model::instant aNow)
{
  const auto issuer = mPeers.PermitIssuer(aBatch.mRequest.mServiceGroup, aNow);
  if (!issuer) {
    const auto decisions =
      mIssuer.Decide(aBatch.mRequest, mPeers.ReachableShare(aNow), aNow);
    Settle(aBatch, decisions, aNow);
    return;
  }
  const auto silent = mSilentUntil.find(*issuer);
  if (silent != mSilentUntil.end() && aNow < silent->second) {
    DecideLocally(aBatch, aNow);
    return;
  }
  aBatch.mIssuer = *issuer;
  const std::uint64_t id = aBatch.mRequest.mId;
  aBatch.mTimer =
    std::make_unique<loop_timer>(mLoop, [this, id] { OnTimeout(id); });
  aBatch.mTimer->Start(kReplyTimeout);
  aBatch.mRequestedAt = event_loop::BootTime();
  std::vector<serving::leaf_limit_report> limits;
  for (const serving::permit_item& item : aBatch.mRequest.mLeaves) {
    if (const auto report = mLimits.Report(item.mLeafId, aNow)) {
      limits.push_back(*report);
    }
  }
  mPeers.SendPermitRequest(*issuer, aBatch.mRequest, limits);
  mMetrics.Count("permit_requests");
  mPending.emplace(id, std::move(aBatch));
}

void
permit_client::OnTimeout(std::uint64_t aId)
{
  auto node = mPending.extract(aId);
  if (node.empty()) {
    return;
  }
  const model::instant now = event_loop::Now();
  batch& expired = node.mapped();
  mSilentUntil[expired.mIssuer] = now + kSilencePeriod;
  mMetrics.Count("permit_issuers_silent");
  DecideLocally(expired, now);
  // Its timer is on the stack.
  mLoop.Defer(
    [timer = std::shared_ptr<loop_timer>(std::move(expired.mTimer))] {});
}

void
permit_client::DecideLocally(batch& aBatch, model::instant aNow)
{
  const std::size_t instances = mPeers.SendingInstances(aNow);
  std::vector<serving::permit_decision> decisions;
  decisions.reserve(aBatch.mRequest.mLeaves.size());
  for (const serving::permit_item& item : aBatch.mRequest.mLeaves) {
    decisions.push_back(mLocal.Decide(item, instances, aNow));
  }
  Settle(aBatch, decisions, aNow);
}

void
permit_client::Settle(const batch& aBatch,
                      const std::vector<serving::permit_decision>& aDecisions,
                      model::instant aNow)
{
  for (std::size_t index = 0; index < aBatch.mAttempts.size(); ++index) {
    const leaf_attempt_ptr& attempt = aBatch.mAttempts[index];
    const serving::permit_decision& decision = aDecisions[index];
    leaf_endpoint* leaf = mLeaves.Find(attempt->mLeafId);
    const bool unlimited = !mLimits.Limit(attempt->mLeafId);
    const bool granted = decision.mGranted || unlimited;
    mMetrics.Count(granted ? "permits_granted" : "permits_denied");
    if (leaf != nullptr && !granted && !aBatch.mRequest.mIsHedge) {
      leaf->SetOverLimit(aBatch.mRequest.mTargetLatencyMs,
                         aNow + decision.mRetryAfter);
    }
    if (!attempt->mObserver) {
      continue; // The request has ended meanwhile.
    }
    if (leaf == nullptr || !leaf->AcceptsWork(aNow) || leaf->IsPaused(aNow)) {
      attempt->End(
        { attempt_end::NotSent, {}, "the leaf is gone, leaving or paused" });
    } else if (!granted) {
      attempt->End({ attempt_end::NotSent, {}, kOverLimit });
    } else {
      attempt->mObserver->OnAttemptAdmitted(*attempt);
      leaf->Submit(attempt, aNow);
    }
  }
}

void
permit_client::OnRequest(const serving::permit_request& aRequest,
                         const model::endpoint& aFrom,
                         model::instant aNow)
{
  serving::permit_reply reply;
  reply.mId = aRequest.mId;
  // During a change of the issuer, only one instance grants permits.
  if (!mPeers.PermitIssuer(aRequest.mServiceGroup, aNow)) {
    serving::permit_request request = aRequest;
    for (serving::permit_item& item : request.mLeaves) {
      item.mPerSecond = mLimits.Limit(item.mLeafId).value_or(item.mPerSecond);
    }
    reply.mDecisions =
      mIssuer.Decide(request, mPeers.ReachableShare(aNow), aNow);
  }
  mPeers.SendPermitReply(aFrom, reply);
}

void
permit_client::OnReply(const serving::permit_reply& aReply,
                       model::instant aNow,
                       model::duration aBootTime)
{
  auto node = mPending.extract(aReply.mId);
  if (node.empty()) {
    mMetrics.Count("permit_replies_late");
    return;
  }
  batch& settled = node.mapped();
  settled.mTimer->Stop();
  // A permit counts for the time at which it was issued. The timer may not have
  // run yet if the process or its machine was suspended.
  const bool expired = aBootTime - settled.mRequestedAt > kMaxPermitAge;
  if (expired) {
    mMetrics.Count("permit_replies_late");
  }
  // Without decisions, the peer does not issue these permits.
  if (expired || aReply.mDecisions.size() != settled.mAttempts.size()) {
    DecideLocally(settled, aNow);
    return;
  }
  Settle(settled, aReply.mDecisions, aNow);
}

model::duration
permit_client::ReturnDelay(const std::string& aService,
                           int aTargetLatencyMs,
                           model::instant aNow)
{
  double perSecond = 0;
  std::optional<model::instant> earliest;
  for (const leaf_endpoint_ptr& leaf : mLeaves.LeavesOf(aService)) {
    const auto until = leaf->OverLimitUntil(aTargetLatencyMs, aNow);
    if (until) {
      perSecond += mLimits.Limit(leaf->Entry().mId).value_or(0);
      earliest = earliest ? std::min(*earliest, *until) : *until;
    }
  }
  if (!earliest || perSecond <= 0) {
    return model::duration(0);
  }
  const double interval =
    static_cast<double>(mPeers.SendingInstances(aNow)) / perSecond;
  const auto step = std::min<model::duration>(
    model::ScaleDuration(std::chrono::seconds(1), interval), kMaxReturnDelay);
  model::instant& last = mLastReturn[aService];
  last = std::min(std::max(*earliest, last + step), aNow + kMaxReturnDelay);
  return last - aNow;
}

void
permit_client::OnTimer(model::instant aNow)
{
  mIssuer.OnTimer(aNow);
  mLocal.OnTimer(aNow);
  std::erase_if(mSilentUntil,
                [&](const auto& aEntry) { return aNow >= aEntry.second; });
  std::erase_if(mLastReturn,
                [&](const auto& aEntry) { return aNow >= aEntry.second; });
}

} // namespace monsooncroft::gateway
