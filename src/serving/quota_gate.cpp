/**
 * @file quota_gate.cpp
 * What an instance knows of the quotas that others keep.
 */
#include "serving/quota_gate_base.h"

#include "serving/quota_margin_func.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::serving {

namespace {

/** Unconfirmed admissions of a workspace, above which the instance asks. */
constexpr std::size_t kMaxUnconfirmed = 2;
/** Time after which an admission is no longer reported: the tokens that it used
 * have been refilled. */
constexpr std::chrono::milliseconds kReportedFor{ 1'000 };
/** Time without a notice after which the instance asks first; two notices may
 * be lost. */
constexpr std::chrono::milliseconds kHeardFor{ 700 };
/** A peer without a reply has waited this long; a notice of that time shows
 * that the issuer is there. */
constexpr std::chrono::milliseconds kPeerWaited{ 60 };
/** Time without an issuer after which the other side of a partition certainly
 * issues no more than its fraction. */
constexpr std::chrono::milliseconds kOverlapEnd{ 3'000 };
/** Time for which an instance has no issuer after its start. */
constexpr double kStartSeconds = 0.75;
/** A workspace sends up to this many times its rate: eight times the usual. */
constexpr double kMaxSurge = 5;
/** Longest delay that is told while no issuer replies: another one is soon
 * named. */
constexpr std::chrono::milliseconds kMaxOwnRetryAfter{ 1'000 };

} // namespace

quota_gate::quota_gate(const quota_settings& aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mOwnShare(mRandom())
  , mGroups(kQuotaGroups)
{
}

void
quota_gate::Prune(workspace_state& aState, model::instant aNow)
{
  while (!aState.mUnconfirmed.empty() &&
         aNow - aState.mUnconfirmed.front().mAt > kReportedFor) {
    aState.mUnconfirmed.pop_front();
  }
}

quota_way
quota_gate::Choose(workspace_hash aWorkspace, model::instant aNow)
{
  const group_state& group = mGroups[QuotaGroupOf(aWorkspace)];
  workspace_state& state = mWorkspaces[aWorkspace];
  Prune(state, aNow);
  const bool isOpen = group.mHeardAt && aNow - *group.mHeardAt <= kHeardFor &&
                      !group.mMustAsk && !IsRestricted(aWorkspace);
  return isOpen && state.mUnconfirmed.size() < kMaxUnconfirmed
           ? quota_way::Admit
           : quota_way::Ask;
}

quota_outcome
quota_gate::DecideByOwnShare(workspace_hash aWorkspace,
                             const quota_limit& aLimit,
                             std::size_t aInstances,
                             model::instant aNow)
{
  const group_state& group = mGroups[QuotaGroupOf(aWorkspace)];
  double rate = aLimit.mRatePerSecond;
  if (!group.mSilentSince || aNow - *group.mSilentSince < kOverlapEnd) {
    rate = std::min(rate, MarginOf(aLimit, mSettings).mOverlapPerSecond);
  }
  const permit_decision decision =
    mOwnShare.Decide({ std::to_string(aWorkspace), rate }, aInstances, aNow);
  return { decision.mGranted,
           std::min(decision.mRetryAfter, kMaxOwnRetryAfter) };
}

quota_outcome
quota_gate::DecideAtStart(workspace_hash aWorkspace,
                          const quota_limit& aLimit,
                          std::size_t aInstances)
{
  workspace_state& state = mWorkspaces[aWorkspace];
  if (std::exchange(state.mStartUsed, true)) {
    return { false, kMaxOwnRetryAfter };
  }
  const double allowed =
    kStartSeconds * aLimit.mRatePerSecond + MarginOf(aLimit, mSettings).mStart;
  const double expected =
    std::min(static_cast<double>(aInstances),
             kMaxSurge * kStartSeconds * aLimit.mRatePerSecond);
  std::uniform_real_distribution<double> chance(0, 1);
  return { chance(mRandom) * expected < allowed, kMaxOwnRetryAfter };
}

void
quota_gate::OnAdmitted(workspace_hash aWorkspace, model::instant aNow)
{
  workspace_state& state = mWorkspaces[aWorkspace];
  state.mUnconfirmed.push_back({ ++state.mTotal, aNow });
}

quota_item
quota_gate::Report(workspace_hash aWorkspace, model::instant aNow)
{
  workspace_state& state = mWorkspaces[aWorkspace];
  Prune(state, aNow);
  quota_item item;
  item.mWorkspace = aWorkspace;
  item.mTotal = state.mTotal;
  item.mUnconfirmed = static_cast<std::uint32_t>(state.mUnconfirmed.size());
  return item;
}

void
quota_gate::OnConfirmed(workspace_hash aWorkspace, std::uint64_t aTotal)
{
  workspace_state& state = mWorkspaces[aWorkspace];
  while (!state.mUnconfirmed.empty() &&
         state.mUnconfirmed.front().mTotal <= aTotal) {
    state.mUnconfirmed.pop_front();
  }
}

void
quota_gate::OnState(const quota_decision& aDecision, model::instant aNow)
{
  workspace_state& state = mWorkspaces[aDecision.mWorkspace];
  state.mRestricted = aDecision.mRestricted;
  state.mLevel = aDecision.mLevel;
  state.mLevelAt = aNow;
}

bool
quota_gate::OnReply(quota_group aGroup)
{
  group_state& group = mGroups[aGroup];
  group.mMustAsk = false;
  return std::exchange(group.mSilentSince, std::nullopt).has_value();
}

bool
quota_gate::OnNotice(const quota_notice& aNotice,
                     const model::endpoint& aIssuer,
                     model::instant aNow)
{
  if (aNotice.mGroup >= kQuotaGroups) {
    return false;
  }
  group_state& group = mGroups[aNotice.mGroup];
  if (group.mIssuer == aIssuer && aNotice.mNumber <= group.mNumber) {
    return false;
  }
  group.mIssuer = aIssuer;
  group.mNumber = aNotice.mNumber;
  if (!aNotice.mDecides) {
    // Its deputy may be deciding; after a loss of all power, nobody does.
    if (group.mHeardAt && aNow - *group.mHeardAt <= kHeardFor) {
      group.mHeardAt = aNow;
    }
    return true;
  }
  group.mHeardAt = aNow;
  group.mRestricted = { aNotice.mRestricted.begin(),
                        aNotice.mRestricted.end() };
  for (auto& [hash, state] : mWorkspaces) {
    state.mRestricted =
      state.mRestricted && QuotaGroupOf(hash) != aNotice.mGroup;
  }
  return true;
}

bool
quota_gate::OnSilence(quota_group aGroup, model::instant aNow)
{
  group_state& group = mGroups[aGroup];
  group.mMustAsk = true;
  if (group.mSilentSince) {
    return false;
  }
  group.mSilentSince = aNow;
  // Full tokens of dozens of instances would be a burst of its own.
  mOwnShare = local_permits(mRandom());
  return true;
}

void
quota_gate::OnPeerSilence(quota_group aGroup, model::instant aNow)
{
  if (aGroup < kQuotaGroups && mGroups[aGroup].mHeardAt &&
      aNow - *mGroups[aGroup].mHeardAt > kPeerWaited) {
    mGroups[aGroup].mHeardAt.reset();
  }
}

void
quota_gate::OnGap()
{
  for (group_state& group : mGroups) {
    group.mHeardAt.reset();
  }
}

std::optional<model::duration>
quota_gate::HeardAge(quota_group aGroup, model::instant aNow) const
{
  const auto& heard = mGroups[aGroup].mHeardAt;
  return heard ? std::optional(aNow - *heard) : std::nullopt;
}

bool
quota_gate::IsSilent(quota_group aGroup) const
{
  return mGroups[aGroup].mSilentSince.has_value();
}

bool
quota_gate::IsRestricted(workspace_hash aWorkspace) const
{
  const auto found = mWorkspaces.find(aWorkspace);
  return (found != mWorkspaces.end() && found->second.mRestricted) ||
         mGroups[QuotaGroupOf(aWorkspace)].mRestricted.contains(aWorkspace);
}

std::optional<std::pair<double, model::duration>>
quota_gate::Level(workspace_hash aWorkspace, model::instant aNow) const
{
  const auto found = mWorkspaces.find(aWorkspace);
  if (found == mWorkspaces.end() || !found->second.mLevel) {
    return std::nullopt;
  }
  return std::pair(*found->second.mLevel, aNow - found->second.mLevelAt);
}

} // namespace monsooncroft::serving
