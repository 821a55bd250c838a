/**
 * @file quota_keeper.cpp
 * Keeps the quotas of the groups whose issuer or deputy this instance is.
 */
#include "serving/quota_keeper_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Between two notices of a group. */
constexpr std::chrono::milliseconds kNoticePeriod{ 250 };
/** Time without a notice after which the ledgers of issuer and deputy may have
 * come apart: each side of a partition has its own. */
constexpr std::chrono::milliseconds kLedgerApart{ 700 };
/** Time after a gap until the other instances have taken this one back. */
constexpr std::chrono::milliseconds kGapPause{ 1'500 };
/** Time in which a request may be repeated. */
constexpr std::chrono::milliseconds kDecidedRetention{ 500 };
/** Requests that the deputy decides alone between two notices, at which it
 * tells the others that the issuer does not reply; single ones are lost
 * datagrams. */
constexpr std::size_t kRequestsToWarn = 4;
/** Between two messages that the issuer does not reply. */
constexpr std::chrono::milliseconds kWarningPeriod{ 100 };
/** Workspaces in one notice, so that it fits a datagram. */
constexpr std::size_t kMaxRestricted = 120;

} // namespace

quota_keeper::quota_keeper(quota_peers& aPeers,
                           quota_observer& aObserver,
                           const quota_settings& aSettings,
                           std::uint64_t aFirstNumber)
  : mPeers(aPeers)
  , mObserver(aObserver)
  , mGroups(kQuotaGroups, group_state(aSettings))
  , mNextNumber(aFirstNumber)
{
}

void
quota_keeper::SetLimits(const quota_ledger::limits& aLimits,
                        model::instant aNow)
{
  std::vector<quota_ledger::limits> byGroup(kQuotaGroups);
  for (const auto& [workspace, limit] : aLimits) {
    byGroup[QuotaGroupOf(workspace)].emplace(workspace, limit);
  }
  for (quota_group group = 0; group < kQuotaGroups; ++group) {
    mGroups[group].mHasLimits = std::any_of(
      byGroup[group].begin(), byGroup[group].end(), [](const auto& aEntry) {
        return aEntry.second.mRatePerSecond > 0;
      });
    mGroups[group].mLedger.SetLimits(std::move(byGroup[group]));
    if (UpdateRestricted(group, aNow)) {
      SendNotice(group);
    }
  }
}

bool
quota_keeper::IsReady(model::instant aNow) const
{
  return aNow >= mNotBefore && mPeers.MembershipIsComplete();
}

double
quota_keeper::Share() const
{
  return std::min(1.0,
                  static_cast<double>(mPeers.ReachableInstances()) /
                    static_cast<double>(mPeers.KnownInstances()));
}

void
quota_keeper::UpdateRole(quota_group aGroup, model::instant aNow)
{
  const quota_keepers keepers = mPeers.Keepers(aGroup);
  group_state& group = mGroups[aGroup];
  group.mIsNamed = keepers.mIssuer.mIsSelf;
  role current = role::None;
  if (!IsReady(aNow)) {
    current = role::None;
  } else if (keepers.mIssuer.mIsSelf) {
    current = role::Issuer;
  } else if (keepers.mDeputy && keepers.mDeputy->mIsSelf) {
    current = role::Deputy;
  }
  if (current == group.mRole) {
    return;
  }
  // An issuer that becomes the deputy goes on with its ledger.
  if (current > group.mRole) {
    group.mLedger.Begin(group.mRole == role::None, Share(), aNow);
  }
  group.mRole = current;
  group.mNextNotice = aNow;
}

quota_reply
quota_keeper::OnRequest(const quota_request& aRequest,
                        std::uint64_t aSender,
                        model::instant aNow)
{
  quota_reply reply;
  reply.mId = aRequest.mId;
  reply.mGroup = aRequest.mGroup;
  if (aRequest.mGroup >= kQuotaGroups) {
    return reply;
  }
  UpdateRole(aRequest.mGroup, aNow);
  group_state& group = mGroups[aRequest.mGroup];
  if (group.mRole == role::None) {
    return reply;
  }
  if (const quota_reply* sent = FindDecided(aRequest, aSender, aNow)) {
    return *sent;
  }
  // An issuer that has just started does not decide yet, and says so.
  const bool isAwaited = aNow - group.mAwaitedAt < kLedgerApart;
  const quota_terms terms{
    Share(), group.mRole == role::Deputy && aRequest.mWantsReply && !isAwaited
  };
  reply.mDecides = true;
  bool asks = false;
  bool restricts = false;
  for (const quota_item& item : aRequest.mItems) {
    reply.mDecisions.push_back(
      group.mLedger.Decide(aSender, item, terms, aNow));
    const quota_decision& decision = reply.mDecisions.back();
    asks = asks || item.mAsked > 0;
    reply.mIsFinal = reply.mIsFinal &&
                     (decision.mGranted == item.mAsked || decision.mLevel < 1);
    restricts = restricts || decision.mRestricted;
  }
  group.mAloneRequests += terms.mMayOverlap ? 1 : 0;
  if (restricts && group.mAloneRequests >= kRequestsToWarn &&
      aNow >= group.mNextWarning) {
    group.mNextWarning = aNow + kWarningPeriod;
    quota_message warning;
    warning.mSilentGroups = { aRequest.mGroup };
    mPeers.SendQuotaToAll(warning);
  }
  if (asks) {
    mDecided.push_back({ aSender, reply, aNow });
  }
  if (UpdateRestricted(aRequest.mGroup, aNow)) {
    SendNotice(aRequest.mGroup);
  }
  return reply;
}

const quota_reply*
quota_keeper::FindDecided(const quota_request& aRequest,
                          std::uint64_t aSender,
                          model::instant aNow)
{
  const auto recent =
    std::find_if(mDecided.begin(), mDecided.end(), [&](const decided& aEach) {
      return aNow - aEach.mAt <= kDecidedRetention;
    });
  mDecided.erase(mDecided.begin(), recent);
  const auto found =
    std::find_if(mDecided.begin(), mDecided.end(), [&](const decided& aEach) {
      return aEach.mSender == aSender && aEach.mReply.mId == aRequest.mId;
    });
  return found == mDecided.end() ? nullptr : &found->mReply;
}

bool
quota_keeper::UpdateRestricted(quota_group aGroup, model::instant aNow)
{
  group_state& group = mGroups[aGroup];
  bool restricts = false;
  if (group.mRole == role::None) {
    return false;
  }
  for (const quota_change& change : group.mLedger.Update(Share(), aNow)) {
    if (group.mRole == role::Issuer) {
      mObserver.OnQuotaChange(change);
      restricts = restricts || change.mRestricted;
    }
  }
  return restricts;
}

void
quota_keeper::SendNotice(quota_group aGroup)
{
  group_state& group = mGroups[aGroup];
  quota_notice notice;
  notice.mGroup = aGroup;
  notice.mNumber = mNextNumber++;
  notice.mDecides = group.mRole == role::Issuer;
  if (notice.mDecides) {
    notice.mRestricted = group.mLedger.Restricted();
    if (notice.mRestricted.size() > kMaxRestricted) {
      notice.mRestricted.resize(kMaxRestricted);
      mObserver.OnQuotaEvent("notice_cut");
    }
  }
  quota_message message;
  message.mNotices = { std::move(notice) };
  mPeers.SendQuotaToAll(message);
}

void
quota_keeper::OnNotice(const quota_notice& aNotice, model::instant aNow)
{
  group_state& group = mGroups[aNotice.mGroup];
  if (group.mRole == role::Deputy &&
      aNow - group.mIssuerHeardAt > kLedgerApart) {
    group.mLedger.Begin(false, Share(), aNow);
  }
  group.mIssuerHeardAt = aNow;
  group.mAloneRequests = 0;
  if (!aNotice.mDecides) {
    group.mAwaitedAt = aNow;
  }
}

void
quota_keeper::OnTimer(model::instant aNow)
{
  for (quota_group number = 0; number < kQuotaGroups; ++number) {
    group_state& group = mGroups[number];
    if (!group.mHasLimits) {
      continue;
    }
    UpdateRole(number, aNow);
    if (aNow < group.mNextNotice) {
      continue;
    }
    group.mNextNotice = aNow + kNoticePeriod;
    UpdateRestricted(number, aNow);
    if (group.mIsNamed) {
      SendNotice(number);
    }
  }
}

void
quota_keeper::OnGap(model::instant aNow)
{
  mNotBefore = aNow + kGapPause;
  mDecided.clear();
  for (group_state& group : mGroups) {
    group.mRole = role::None; // Begins anew.
  }
}

std::optional<double>
quota_keeper::Level(workspace_hash aWorkspace) const
{
  const group_state& group = mGroups[QuotaGroupOf(aWorkspace)];
  return group.mRole == role::None ? std::nullopt
                                   : group.mLedger.Level(aWorkspace);
}

} // namespace monsooncroft::serving
