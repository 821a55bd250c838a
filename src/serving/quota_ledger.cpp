/**
 * @file quota_ledger.cpp
 * Admissions of the workspaces of one quota group, over all instances.
 */
#include "serving/quota_ledger_base.h"

#include "model/time_func.h"
#include "serving/quota_margin_func.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Fractions of the capacity below which a workspace becomes restricted, and
 * above which it is open again. The lower one leaves room for what is admitted
 * until all instances have heard of it. */
constexpr double kRestrictedBelow = 0.4;
constexpr double kOpenAbove = 0.7;
/** Time after which a grant whose reply was lost no longer counts as an
 * admission of that instance. */
constexpr std::chrono::milliseconds kGrantMemory{ 500 };
/** After this time without a report, an instance's total is forgotten. */
constexpr std::chrono::seconds kSenderRetention{ 30 };
/** Lowest rate that delays are computed from. */
constexpr double kMinRate = 0.01;
/** Of the instances: a part of the fleet that is at least this large, a data
 * centre of three, has the whole allowance. A third of it would not even out
 * the arrivals of a small workspace; for single isolated instances, dozens of
 * whole ones would exceed the margin. */
constexpr double kLargePart = 1.0 / 3;
/** Longest time that a caller is told to wait. */
constexpr std::chrono::seconds kMaxRetryAfter{ 3 };

} // namespace

const quota_limit&
quota_ledger::LimitOf(workspace_hash aWorkspace,
                      const quota_limit& aOther) const
{
  const auto found = mLimits.find(aWorkspace);
  return found == mLimits.end() ? aOther : found->second;
}

void
quota_ledger::SetLimits(limits aLimits)
{
  mLimits = std::move(aLimits);
}

double
quota_ledger::Tokens(const quota_limit& aLimit, double aShare) const
{
  return aLimit.mBurst * aShare + MarginOf(aLimit, mSettings).mAllowance *
                                    std::min(1.0, aShare / kLargePart);
}

double
quota_ledger::Start(const quota_limit& aLimit) const
{
  const double start =
    std::min(MarginOf(aLimit, mSettings).mStart, Tokens(aLimit, mBeganShare));
  return mBeganShare < kLargePart ? start : std::max(1.0, start);
}

void
quota_ledger::Begin(bool aIsNew, double aShare, model::instant aNow)
{
  mBeganAt = aNow;
  mBeganShare = aShare;
  for (auto& [hash, state] : mWorkspaces) {
    const double start = Start(state.mLimit);
    state.mBucket.Set(std::min(state.mBucket.Tokens(), start));
    state.mBucket.Advance(0, start, aNow);
    state.mRestricted =
      state.mRestricted || !state.mBucket.Has(kOpenAbove * state.mCapacity);
    if (aIsNew) {
      state.mSenders.clear();
    }
  }
}

void
quota_ledger::Advance(workspace_state& aState,
                      const quota_limit& aLimit,
                      double aShare,
                      model::instant aNow) const
{
  const quota_margin margin = MarginOf(aLimit, mSettings);
  const double full = aLimit.mBurst + margin.mAllowance;
  const double before = aState.mLimit.mRatePerSecond;
  const bool isRaised = aState.mIsConfigured && aState.mFullCapacity > 0 &&
                        full > aState.mFullCapacity;
  if (isRaised) {
    aState.mBucket.Set(aState.mBucket.Tokens() +
                       (full - aState.mFullCapacity) * aShare);
  } else if (aLimit.mRatePerSecond < before && aState.mBucket.Tokens() < 0) {
    // A debt takes as long to repay as before.
    aState.mBucket.Set(aState.mBucket.Tokens() * aLimit.mRatePerSecond /
                       before);
  }
  aState.mLimit = aLimit;
  aState.mFullCapacity = full;
  aState.mCapacity = std::max(1.0, Tokens(aLimit, aShare));
  aState.mRatePerSecond = aLimit.mRatePerSecond * aShare;
  aState.mBucket.Advance(aState.mRatePerSecond, aState.mCapacity, aNow);
  const double overlap =
    std::min(aState.mRatePerSecond, margin.mOverlapPerSecond);
  aState.mOverlap.Advance(overlap, std::max(1.0, margin.mOverlapBurst), aNow);
}

quota_ledger::workspace_state&
quota_ledger::Find(const quota_item& aItem, model::instant aNow)
{
  auto found = mWorkspaces.find(aItem.mWorkspace);
  if (found == mWorkspaces.end()) {
    // Not reported on since the beginning of the duty: at the start's level
    // then, and refilled since.
    const quota_limit& limit = LimitOf(aItem.mWorkspace, aItem.mLimit);
    const double start = Start(limit);
    found =
      mWorkspaces.emplace(aItem.mWorkspace, workspace_state(start, mBeganAt))
        .first;
    found->second.mChangedAt = aNow;
  }
  return found->second;
}

std::uint32_t
quota_ledger::NewAdmissions(sender_state* aSender,
                            bool aIsKnown,
                            const quota_item& aItem,
                            model::instant aNow)
{
  if (!aIsKnown) {
    aSender->mTotal = aItem.mTotal;
    return aItem.mUnconfirmed;
  }
  if (aNow - aSender->mGrantedAt > kGrantMemory) {
    aSender->mAhead = 0;
  }
  if (aItem.mTotal <= aSender->mTotal) {
    return 0; // A duplicate, or overtaken by a later one.
  }
  std::uint64_t added = aItem.mTotal - aSender->mTotal;
  aSender->mTotal = aItem.mTotal;
  const std::uint64_t granted = std::min(added, aSender->mAhead);
  aSender->mAhead -= granted;
  added -= granted;
  // The rest was charged elsewhere, in the time of another issuer or on the
  // other side of a partition.
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(added, aItem.mUnconfirmed));
}

quota_decision
quota_ledger::Decide(std::uint64_t aSender,
                     const quota_item& aItem,
                     const quota_terms& aTerms,
                     model::instant aNow)
{
  quota_decision decision;
  decision.mWorkspace = aItem.mWorkspace;
  const quota_limit& limit = LimitOf(aItem.mWorkspace, aItem.mLimit);
  if (limit.mRatePerSecond <= 0) {
    decision.mGranted = aItem.mAsked;
    return decision;
  }
  const bool isNewHere = !mWorkspaces.contains(aItem.mWorkspace);
  workspace_state& state = Find(aItem, aNow);
  state.mIsConfigured = mLimits.contains(aItem.mWorkspace);
  Advance(state, limit, aTerms.mShare, aNow);
  if (isNewHere) {
    state.mRestricted = !state.mBucket.Has(kOpenAbove * state.mCapacity);
  }
  const auto [sender, isNew] = state.mSenders.try_emplace(aSender);
  sender->second.mLastReport = aNow;
  const std::uint32_t charged =
    NewAdmissions(&sender->second, !isNew, aItem, aNow);
  state.mBucket.Take(charged);
  state.mOverlap.Take(aTerms.mMayOverlap ? charged : 0);
  while (decision.mGranted < aItem.mAsked && state.mBucket.Has(1) &&
         (!aTerms.mMayOverlap || state.mOverlap.Has(1))) {
    state.mBucket.Take();
    state.mOverlap.Take(aTerms.mMayOverlap ? 1 : 0);
    ++decision.mGranted;
  }
  if (decision.mGranted > 0) {
    sender->second.mAhead += decision.mGranted;
    sender->second.mGrantedAt = aNow;
  }
  decision.mLevel = state.mBucket.Tokens();
  decision.mRestricted = state.mRestricted ||
                         decision.mLevel < kRestrictedBelow * state.mCapacity ||
                         (aTerms.mMayOverlap && !state.mOverlap.Has(1));
  if (decision.mGranted < aItem.mAsked) {
    model::duration wait = state.mBucket.TimeUntil(1);
    if (aTerms.mMayOverlap) {
      wait = std::max<model::duration>(wait, state.mOverlap.TimeUntil(1));
    }
    SetRetry(
      state, decision, aItem.mAsked - decision.mGranted, aNow + wait, aNow);
  }
  return decision;
}

void
quota_ledger::SetRetry(workspace_state& aState,
                       quota_decision& aDecision,
                       std::uint32_t aRefused,
                       model::instant aAvailable,
                       model::instant aNow)
{
  const double rate = std::max(kMinRate, aState.mRatePerSecond);
  const model::duration step = std::min<model::duration>(
    model::ScaleDuration(std::chrono::seconds(1), 1 / rate), kMaxRetryAfter);
  const model::instant latest = aNow + kMaxRetryAfter;
  const model::instant first =
    std::min(std::max(aAvailable, aState.mLastReturn + step), latest);
  aState.mLastReturn = std::min(first + (aRefused - 1) * step, latest);
  aDecision.mRetryAfter =
    std::chrono::ceil<std::chrono::milliseconds>(first - aNow);
  aDecision.mRetryStep = std::chrono::ceil<std::chrono::milliseconds>(step);
}

std::vector<quota_change>
quota_ledger::Update(double aShare, model::instant aNow)
{
  std::vector<quota_change> changes;
  for (auto& [hash, state] : mWorkspaces) {
    Advance(state, LimitOf(hash, state.mLimit), aShare, aNow);
    const double level = state.mBucket.Tokens();
    const bool restricted =
      level <
      (state.mRestricted ? kOpenAbove : kRestrictedBelow) * state.mCapacity;
    if (restricted != state.mRestricted) {
      state.mRestricted = restricted;
      changes.push_back({ hash,
                          restricted,
                          level,
                          state.mCapacity,
                          state.mLimit.mRatePerSecond * aShare,
                          aShare,
                          aNow - state.mChangedAt });
      state.mChangedAt = aNow;
    }
    std::erase_if(state.mSenders, [&](const auto& aEntry) {
      return aNow - aEntry.second.mLastReport > kSenderRetention;
    });
  }
  std::erase_if(mWorkspaces, [&](const auto& aEntry) {
    const workspace_state& state = aEntry.second;
    return !state.mRestricted && state.mSenders.empty() &&
           state.mBucket.Has(state.mCapacity);
  });
  return changes;
}

std::vector<workspace_hash>
quota_ledger::Restricted() const
{
  std::vector<workspace_hash> restricted;
  for (const auto& [hash, state] : mWorkspaces) {
    if (state.mRestricted) {
      restricted.push_back(hash);
    }
  }
  return restricted;
}

std::optional<double>
quota_ledger::Level(workspace_hash aWorkspace) const
{
  const auto found = mWorkspaces.find(aWorkspace);
  return found == mWorkspaces.end()
           ? std::nullopt
           : std::optional(found->second.mBucket.Tokens());
}

} // namespace monsooncroft::serving
