/**
 * @file quota_agent_reply.cpp
 * Replies of the quotas' keepers, and what happens without one.
 */
#include "serving/quota_agent_base.h"

#include <utility>

namespace monsooncroft::serving {

namespace {

/** Age of a reply at which its grants are no longer used. */
constexpr std::chrono::milliseconds kMaxGrantAge{ 250 };
/** Between two messages to peers that no keeper replies. */
constexpr std::chrono::milliseconds kWarningPeriod{ 1'000 };

} // namespace

void
quota_agent::OnReply(const quota_reply& aReply,
                     const model::endpoint& aFrom,
                     model::instant aNow)
{
  const auto found = mExchanges.find(aReply.mId);
  if (found == mExchanges.end()) {
    mObserver.OnQuotaEvent("reply_unused");
    return;
  }
  if (!aReply.mDecides ||
      aReply.mDecisions.size() != found->second.mRequest.mItems.size()) {
    OnRefusedReply(aReply, aFrom, aNow);
    return;
  }
  mSilentUntil.erase(aFrom);
  const quota_group group = found->second.mRequest.mGroup;
  if (mGate.OnReply(group)) {
    mObserver.OnQuotaSilence(
      group, false, mGate.HeardAge(group, aNow).value_or(model::duration(-1)));
  }
  if (!aReply.mIsFinal) {
    OnProvisionalReply(aReply, aNow);
    return;
  }
  auto node = mExchanges.extract(found);
  Settle(node.mapped(), aReply, aNow);
}

void
quota_agent::OnProvisionalReply(const quota_reply& aReply, model::instant aNow)
{
  const auto found = mExchanges.find(aReply.mId);
  if (found->second.mProvisional) {
    return; // The same one, repeated.
  }
  found->second.mProvisional = aReply;
  Settle(found->second, aReply, aNow);
  for (quota_decision& decision : found->second.mProvisional->mDecisions) {
    decision.mGranted = 0;
  }
  if (found->second.mWaiting.empty()) {
    mExchanges.erase(found);
  } else if (!found->second.mIsSecond) {
    SendSecond(aReply.mId, aNow);
  }
}

void
quota_agent::OnRefusedReply(const quota_reply& aReply,
                            const model::endpoint& aFrom,
                            model::instant aNow)
{
  const auto found = mExchanges.find(aReply.mId);
  const quota_keepers keepers = mPeers.Keepers(found->second.mRequest.mGroup);
  SetSilent(aFrom, aNow);
  const bool otherIsSilent =
    !keepers.mDeputy || (IsSilent(keepers.mIssuer.mPeer, aNow) &&
                         IsSilent(keepers.mDeputy->mPeer, aNow));
  if (otherIsSilent) {
    auto node = mExchanges.extract(found);
    Fail(node.mapped(), aNow);
  } else if (!found->second.mIsSecond) {
    SendSecond(aReply.mId, aNow);
  }
}

void
quota_agent::Settle(open_exchange& aExchange,
                    const quota_reply& aReply,
                    model::instant aNow)
{
  const bool isLate = aNow - aExchange.mFirstSentAt > kMaxGrantAge;
  if (isLate) {
    mObserver.OnQuotaEvent("reply_late");
  }
  std::unordered_map<workspace_hash, quota_decision> decisions;
  for (std::size_t index = 0; index < aReply.mDecisions.size(); ++index) {
    const quota_item& item = aExchange.mRequest.mItems[index];
    mGate.OnConfirmed(item.mWorkspace, item.mTotal);
    if (!isLate) {
      mGate.OnState(aReply.mDecisions[index], aNow);
    }
    decisions.emplace(item.mWorkspace, aReply.mDecisions[index]);
  }
  for (waiting& each : std::exchange(aExchange.mWaiting, {})) {
    quota_decision& decision = decisions[each.mWorkspace];
    if (isLate) {
      DecideByOwnShare(each, aNow);
    } else if (decision.mGranted > 0) {
      --decision.mGranted;
      Finish(each, {}, quota_source::Issuer, aNow);
    } else if (!aReply.mIsFinal) {
      aExchange.mWaiting.push_back(std::move(each));
    } else {
      Finish(each, { false, decision.mRetryAfter }, quota_source::Issuer, aNow);
      decision.mRetryAfter += decision.mRetryStep;
    }
  }
}

void
quota_agent::Fail(open_exchange& aExchange, model::instant aNow)
{
  if (aExchange.mProvisional) {
    aExchange.mProvisional->mIsFinal = true;
    Settle(aExchange, quota_reply(*aExchange.mProvisional), aNow);
    return;
  }
  const quota_group group = aExchange.mRequest.mGroup;
  const bool isStarting = !mPeers.MembershipIsComplete();
  const auto heardAge = mGate.HeardAge(group, aNow);
  if (!isStarting && mGate.OnSilence(group, aNow)) {
    mObserver.OnQuotaSilence(
      group, true, heardAge.value_or(model::duration(-1)));
  }
  // Peers that still count on the issuer admit requests that it never hears of.
  if (!isStarting && heardAge && aNow >= mGroups[group].mNextWarning) {
    mGroups[group].mNextWarning = aNow + kWarningPeriod;
    quota_message warning;
    warning.mSilentGroups = { group };
    mPeers.SendQuotaToDataCentre(warning);
  }
  for (const waiting& each : aExchange.mWaiting) {
    DecideByOwnShare(each, aNow);
  }
}

void
quota_agent::DecideByOwnShare(const waiting& aRequest, model::instant aNow)
{
  const quota_outcome outcome =
    mPeers.MembershipIsComplete()
      ? mGate.DecideByOwnShare(
          aRequest.mWorkspace, aRequest.mLimit, mPeers.KnownInstances(), aNow)
      : mGate.DecideAtStart(
          aRequest.mWorkspace, aRequest.mLimit, mPeers.KnownInstances());
  Finish(aRequest, outcome, quota_source::OwnShare, aNow);
}

} // namespace monsooncroft::serving
