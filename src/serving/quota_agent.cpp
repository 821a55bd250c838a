/**
 * @file quota_agent.cpp
 * Admits requests of workspaces: reports to and asks the quotas' keepers.
 */
#include "serving/quota_agent_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::serving {

namespace {

/** Several round trips between data centres, and the delay on a slow machine;
 * then issuer and deputy are asked. */
constexpr std::chrono::milliseconds kFirstTimeout{ 40 };
/** Machines with a tenth of a core may stand for 90 ms, at both ends; with 60
 * ms, a quarter of the requests within the quota were refused in such a fleet.
 */
constexpr std::chrono::milliseconds kSecondTimeout{ 160 };
/** A deadline that is noticed this late may have a reply in the socket. */
constexpr std::chrono::milliseconds kLateTimer{ 5 };
constexpr std::chrono::milliseconds kExtension{ 3 };
/** Time for which a keeper that did not reply is not asked first. */
constexpr std::chrono::milliseconds kSilencePeriod{ 500 };
/** Time without a call of OnTimer() after which this process has stood still
 * for long enough to be replaced. */
constexpr std::chrono::milliseconds kGap{ 700 };
/** Items in one message, so that it fits a datagram. */
constexpr std::size_t kMaxItems = 24;
/** Of this instance's own reports. */
constexpr std::uint64_t kOwnSender = 0;

} // namespace

quota_agent::quota_agent(quota_peers& aPeers,
                         quota_observer& aObserver,
                         const quota_settings& aSettings,
                         std::uint64_t aSeed)
  : mPeers(aPeers)
  , mObserver(aObserver)
  , mGate(aSettings, aSeed)
  , mKeeper(aPeers, aObserver, aSettings, aSeed)
  , mGroups(kQuotaGroups)
  , mNextId(aSeed) // Replies to an earlier process of this name do not match.
{
}

void
quota_agent::SetLimits(const quota_ledger::limits& aLimits, model::instant aNow)
{
  mKeeper.SetLimits(aLimits, aNow);
}

bool
quota_agent::Admit(workspace_hash aWorkspace,
                   const quota_limit& aLimit,
                   callback aDone,
                   model::instant aNow)
{
  CheckGap(aNow);
  waiting request{ aWorkspace, aLimit, std::move(aDone) };
  if (aLimit.mRatePerSecond <= 0) {
    request.mDone({});
    return false;
  }
  group_state& group = mGroups[QuotaGroupOf(aWorkspace)];
  if (mGate.Choose(aWorkspace, aNow) == quota_way::Admit) {
    Finish(request, {}, quota_source::Open, aNow);
  } else {
    group.mAsking.push_back(std::move(request));
  }
  return true;
}

void
quota_agent::Finish(const waiting& aRequest,
                    const quota_outcome& aOutcome,
                    quota_source aSource,
                    model::instant aNow)
{
  if (aOutcome.mAdmitted) {
    mGate.OnAdmitted(aRequest.mWorkspace, aNow);
    mGroups[QuotaGroupOf(aRequest.mWorkspace)].mChanged.insert_or_assign(
      aRequest.mWorkspace, aRequest.mLimit);
  }
  mObserver.OnQuotaDecision(aSource, aOutcome.mAdmitted);
  aRequest.mDone(aOutcome);
}

bool
quota_agent::IsSilent(const model::endpoint& aPeer, model::instant aNow) const
{
  const auto found = mSilentUntil.find(aPeer);
  return found != mSilentUntil.end() && aNow < found->second;
}

void
quota_agent::SetSilent(const model::endpoint& aPeer, model::instant aNow)
{
  mSilentUntil[aPeer] = aNow + kSilencePeriod;
}

void
quota_agent::Flush(model::instant aNow)
{
  for (quota_group group = 0; group < kQuotaGroups; ++group) {
    // Replies of this instance's own ledger admit requests, which are reported
    // to the deputy.
    for (int round = 0; round < 3 && (!mGroups[group].mAsking.empty() ||
                                      !mGroups[group].mChanged.empty());
         ++round) {
      FlushGroup(group, aNow);
    }
  }
}

void
quota_agent::FlushGroup(quota_group aGroup, model::instant aNow)
{
  group_state& group = mGroups[aGroup];
  std::vector<waiting> asking = std::exchange(group.mAsking, {});
  auto changed = std::exchange(group.mChanged, {});
  const quota_keepers keepers = mPeers.Keepers(aGroup);
  if (IsSilent(keepers.mIssuer.mPeer, aNow) &&
      (!keepers.mDeputy || IsSilent(keepers.mDeputy->mPeer, aNow))) {
    for (const waiting& each : std::exchange(asking, {})) {
      DecideByOwnShare(each, aNow);
    }
    changed.merge(std::exchange(group.mChanged, {}));
  }
  for (const waiting& each : asking) {
    changed.insert_or_assign(each.mWorkspace, each.mLimit);
  }
  auto place = changed.begin();
  while (place != changed.end()) {
    quota_request request;
    request.mGroup = aGroup;
    std::vector<waiting> waitingHere;
    for (; place != changed.end() && request.mItems.size() < kMaxItems;
         ++place) {
      quota_item item = mGate.Report(place->first, aNow);
      item.mLimit = place->second;
      for (waiting& each : asking) {
        if (each.mWorkspace == item.mWorkspace) {
          ++item.mAsked;
          waitingHere.push_back(std::move(each));
        }
      }
      request.mItems.push_back(item);
    }
    SendFirst(std::move(request), std::move(waitingHere), aNow);
  }
}

void
quota_agent::SendFirst(quota_request aRequest,
                       std::vector<waiting> aWaiting,
                       model::instant aNow)
{
  const quota_keepers keepers = mPeers.Keepers(aRequest.mGroup);
  aRequest.mId = mNextId++;
  const std::uint64_t id = aRequest.mId;
  open_exchange started;
  started.mRequest = aRequest;
  started.mWaiting = std::move(aWaiting);
  started.mFirstSentAt = aNow;
  started.mDeadline = aNow + kFirstTimeout;
  mExchanges.emplace(id, std::move(started));
  const bool toDeputy =
    keepers.mDeputy && IsSilent(keepers.mIssuer.mPeer, aNow);
  Send(keepers.mIssuer, aRequest, !toDeputy, aNow);
  if (keepers.mDeputy) {
    Send(*keepers.mDeputy, aRequest, toDeputy, aNow);
  }
  for (const auto& [from, reply] : std::exchange(mOwnReplies, {})) {
    OnReply(reply, from, aNow);
  }
}

void
quota_agent::SendSecond(std::uint64_t aId, model::instant aNow)
{
  const auto found = mExchanges.find(aId);
  found->second.mIsSecond = true;
  found->second.mDeadline = aNow + kSecondTimeout;
  const quota_request request = found->second.mRequest;
  const quota_keepers keepers = mPeers.Keepers(request.mGroup);
  Send(keepers.mIssuer, request, true, aNow);
  if (keepers.mDeputy) {
    Send(*keepers.mDeputy, request, true, aNow);
  }
  for (const auto& [from, reply] : std::exchange(mOwnReplies, {})) {
    OnReply(reply, from, aNow);
  }
}

void
quota_agent::Send(const quota_keeper_address& aTo,
                  quota_request aRequest,
                  bool aWantsReply,
                  model::instant aNow)
{
  aRequest.mWantsReply = aWantsReply;
  if (!aWantsReply) {
    // Only one keeper decides at first; the other one learns the admissions.
    std::erase_if(aRequest.mItems, [](const quota_item& aItem) {
      return aItem.mUnconfirmed == 0;
    });
    for (quota_item& item : aRequest.mItems) {
      item.mAsked = 0;
    }
    if (aRequest.mItems.empty()) {
      return;
    }
  }
  if (aTo.mIsSelf) {
    quota_reply reply = mKeeper.OnRequest(aRequest, kOwnSender, aNow);
    if (aWantsReply) {
      mOwnReplies.emplace_back(aTo.mPeer, std::move(reply));
    }
    return;
  }
  quota_message message;
  message.mRequests = { std::move(aRequest) };
  mPeers.SendQuota(aTo.mPeer, message);
}

void
quota_agent::OnMessage(const quota_message& aMessage,
                       std::uint64_t aSender,
                       const model::endpoint& aFrom,
                       model::instant aNow)
{
  CheckGap(aNow);
  for (const quota_request& request : aMessage.mRequests) {
    quota_reply reply = mKeeper.OnRequest(request, aSender, aNow);
    if (request.mWantsReply) {
      quota_message answer;
      answer.mReplies = { std::move(reply) };
      mPeers.SendQuota(aFrom, answer);
    }
  }
  for (const quota_reply& reply : aMessage.mReplies) {
    OnReply(reply, aFrom, aNow);
  }
  for (const quota_notice& notice : aMessage.mNotices) {
    if (notice.mGroup < kQuotaGroups &&
        mPeers.Keepers(notice.mGroup).mIssuer.mPeer == aFrom &&
        mGate.OnNotice(notice, aFrom, aNow)) {
      mKeeper.OnNotice(notice, aNow);
      mSilentUntil.erase(aFrom);
    }
  }
  for (const quota_group group : aMessage.mSilentGroups) {
    mGate.OnPeerSilence(group, aNow);
  }
}

void
quota_agent::CheckGap(model::instant aNow)
{
  if (mLastTimer && aNow - *mLastTimer > kGap) {
    mGate.OnGap();
    mKeeper.OnGap(aNow);
    mObserver.OnQuotaEvent("gap");
  }
  mLastTimer = aNow;
}

void
quota_agent::OnTimer(model::instant aNow)
{
  CheckGap(aNow);
  mKeeper.OnTimer(aNow);
  std::vector<std::uint64_t> due;
  for (auto& [id, each] : mExchanges) {
    if (aNow < each.mDeadline) {
      continue;
    }
    if (aNow - each.mDeadline > kLateTimer && !each.mIsExtended) {
      each.mIsExtended = true;
      each.mDeadline = aNow + kExtension;
    } else {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    const auto found = mExchanges.find(id);
    if (found == mExchanges.end()) {
      continue;
    }
    if (!found->second.mIsSecond) {
      SetSilent(mPeers.Keepers(found->second.mRequest.mGroup).mIssuer.mPeer,
                aNow);
      SendSecond(id, aNow);
      continue;
    }
    const quota_keepers keepers = mPeers.Keepers(found->second.mRequest.mGroup);
    SetSilent(keepers.mIssuer.mPeer, aNow);
    if (keepers.mDeputy) {
      SetSilent(keepers.mDeputy->mPeer, aNow);
    }
    auto node = mExchanges.extract(found);
    Fail(node.mapped(), aNow);
  }
  std::erase_if(mSilentUntil,
                [&](const auto& aEntry) { return aNow >= aEntry.second; });
  Flush(aNow);
}

std::optional<model::instant>
quota_agent::NextTimer() const
{
  std::optional<model::instant> next;
  for (const auto& [id, each] : mExchanges) {
    next = next ? std::min(*next, each.mDeadline) : each.mDeadline;
  }
  return next;
}

quota_status
quota_agent::Status(workspace_hash aWorkspace,
                    const quota_limit& aLimit,
                    model::instant aNow) const
{
  quota_status status;
  status.mLimit = aLimit;
  const quota_group group = QuotaGroupOf(aWorkspace);
  status.mIssuer = mPeers.Keepers(group).mIssuer.mPeer;
  status.mIssuerHeardAge = mGate.HeardAge(group, aNow);
  if (const auto own = mKeeper.Level(aWorkspace)) {
    status.mLevel = own;
    status.mLevelAge = model::duration(0);
  } else if (const auto told = mGate.Level(aWorkspace, aNow)) {
    status.mLevel = told->first;
    status.mLevelAge = told->second;
  }
  if (aLimit.mRatePerSecond <= 0) {
    status.mState = "unlimited";
  } else if (mGate.IsSilent(group)) {
    status.mState = "own share";
  } else if (mGate.IsRestricted(aWorkspace)) {
    status.mState = "restricted";
  } else {
    status.mState = status.mIssuerHeardAge ? "open" : "unheard";
  }
  return status;
}

} // namespace monsooncroft::serving
