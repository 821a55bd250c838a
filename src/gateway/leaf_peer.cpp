/**
 * @file leaf_peer.cpp
 * One leaf, as this instance works with it.
 */
#include "gateway/leaf_peer_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_link_base.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** No further connection is tried for so long at a leaf at its limit. */
constexpr std::chrono::milliseconds kCapPause{ 1'000 };

/** Peers are told of answers that took so much longer than usual, or so much
 * less than what was known. */
constexpr std::chrono::milliseconds kLeastTold{ 8 };
/** A connection that is not kept open is left to other instances after such a
 * time without work: about the time between two requests of an instance where
 * instances outnumber connections. */
constexpr std::chrono::milliseconds kSharedIdle{ 1'500 };

} // namespace

leaf_peer::leaf_peer(event_loop& aLoop,
                     const header_names& aNames,
                     leaf_observer& aObserver,
                     serving::leaf_entry aEntry,
                     model::duration aOpensAheadAfter)
  : mLoop(aLoop)
  , mNames(aNames)
  , mObserver(aObserver)
  , mEntry(std::move(aEntry))
  , mOpensAheadAfter(aOpensAheadAfter)
  , mDeaths(model::leaf_id(mEntry.mId))
{
  Settle(mDeaths.OnBoot(std::to_string(mEntry.mBorn)));
  const model::instant now = event_loop::Now();
  mLoad.SetColdUntil(now + std::chrono::milliseconds(mEntry.mColdMs));
}

leaf_peer::~leaf_peer() = default;

void
leaf_peer::Update(const serving::leaf_entry& aEntry, model::instant aNow)
{
  const bool reborn =
    aEntry.mBorn != mEntry.mBorn || aEntry.mAddress != mEntry.mAddress;
  mEntry = aEntry;
  mLoad.SetColdUntil(aNow + std::chrono::milliseconds(aEntry.mColdMs));
  Settle(mDeaths.OnBoot(std::to_string(aEntry.mBorn)));
  if (!reborn) {
    return;
  }
  // A new incarnation knows nothing of the old connections.
  mMisdirected = false;
  const auto links = std::exchange(mLinks, {});
  for (const auto& link : links) {
    link->Close(attempt_end::Lost, "the leaf started again");
  }
  mLoad = serving::leaf_load();
  mLoad.SetColdUntil(aNow + std::chrono::milliseconds(aEntry.mColdMs));
}

void
leaf_peer::Submit(leaf_attempt_ptr aAttempt, model::instant aNow)
{
  aAttempt->mQueued = aNow;
  mLoad.OnSent(aNow, aAttempt->mUsualWork);
  const auto place =
    std::upper_bound(mWaiting.begin(),
                     mWaiting.end(),
                     aAttempt->mDue,
                     [](model::instant aDue, const leaf_attempt_ptr& aOther) {
                       return aDue < aOther->mDue;
                     });
  mWaiting.insert(place, std::move(aAttempt));
  Dispatch(aNow);
}

void
leaf_peer::TakeWaiting(leaf_link& aLink, model::instant aNow)
{
  DropExpired(aNow);
  // What expired may have been placed anew, here.
  if (mWaiting.empty() || !aLink.Usable(aNow)) {
    return;
  }
  const leaf_attempt_ptr attempt = mWaiting.front();
  mWaiting.pop_front();
  aLink.Send(attempt, aNow);
}

void
leaf_peer::DropExpired(model::instant aNow)
{
  std::vector<leaf_attempt_ptr> expired;
  for (auto place = mWaiting.begin(); place != mWaiting.end();) {
    const leaf_attempt_ptr& attempt = *place;
    if (attempt->mObserver && aNow < attempt->mDeadline) {
      ++place;
      continue;
    }
    mLoad.OnDropped(attempt->mQueued, std::nullopt, attempt->mUsualWork, aNow);
    expired.push_back(attempt);
    place = mWaiting.erase(place);
  }
  for (const leaf_attempt_ptr& attempt : expired) {
    attempt->End({ attempt_end::NotSent, {}, "expired in the queue" });
  }
}

void
leaf_peer::Dispatch(model::instant aNow)
{
  for (std::size_t place = 0; place < mLinks.size() && !mWaiting.empty();
       ++place) {
    if (mLinks[place]->Usable(aNow)) {
      TakeWaiting(*mLinks[place], aNow);
    }
  }
  if (Connecting() < mWaiting.size() && mLinks.size() < mShare.mMost &&
      !mRetired && !mLoad.Refuses(aNow) && aNow >= mCappedUntil) {
    Open();
  }
}

void
leaf_peer::Open()
{
  mObserver.OnLinkOpened(*this);
  mLinks.push_back(
    std::make_unique<leaf_link>(mLoop, *this, mEntry.mAddress, mNames));
}

void
leaf_peer::Try()
{
  if (Connecting() == 0 && !mRetired) {
    Open();
  }
}

std::size_t
leaf_peer::Connecting() const
{
  return static_cast<std::size_t>(
    std::count_if(mLinks.begin(), mLinks.end(), [](const auto& aLink) {
      return aLink->Connecting();
    }));
}

void
leaf_peer::ForEachLink(const std::function<void(leaf_link&)>& aDo)
{
  std::vector<leaf_link*> links;
  links.reserve(mLinks.size());
  for (const auto& link : mLinks) {
    links.push_back(link.get());
  }
  for (leaf_link* link : links) {
    if (Has(*link)) {
      aDo(*link);
    }
  }
}

void
leaf_peer::OnTick(bool aWarm, model::instant aNow)
{
  DropExpired(aNow);
  Settle(mDeaths.OnTimer(aNow));
  ForEachLink([&](leaf_link& aLink) { aLink.OnTick(aNow); });
  if (mRetired) {
    Retire();
    return;
  }
  // Beyond the share: what Try has opened.
  if (!mShare.mKeptOpen || mLinks.size() > mShare.mMost) {
    CloseIdle(aNow);
  }
  if (aWarm && mShare.mKeptOpen && mLinks.empty() && aNow >= mOpensAheadFrom &&
      TakesWork(aNow) && !mLoad.Refuses(aNow)) {
    Open();
  }
  Dispatch(aNow);
}

void
leaf_peer::OnDiedWith(const leaf_attempt& aAttempt, model::instant aNow)
{
  mProbes = true; // A new connection tells whether the leaf is there.
  mDeaths.OnConnectionDied(
    aAttempt.mText->mContent, model::service_id(mEntry.mService), aNow);
}

void
leaf_peer::Settle(const once::settled_suspicions& aSettled)
{
  for (const once::suspicion& confirmed : aSettled.mConfirmed) {
    mObserver.OnLeafDied(*this, confirmed);
  }
}

void
leaf_peer::CloseIdle(model::instant aNow)
{
  ForEachLink([&](leaf_link& aLink) {
    if (aLink.IdleFor(aNow) > kSharedIdle) {
      aLink.Close(attempt_end::NotSent, "idle");
    }
  });
}

void
leaf_peer::Retire()
{
  mRetired = true;
  FailWaiting("the leaf is gone");
  ForEachLink([](leaf_link& aLink) {
    if (!aLink.Busy()) {
      aLink.Close(attempt_end::NotSent, "the leaf is gone");
    }
  });
}

bool
leaf_peer::Quiet() const
{
  return mLinks.empty() && mWaiting.empty();
}

void
leaf_peer::FailWaiting(const char* aReason)
{
  const auto waiting = std::exchange(mWaiting, {});
  for (const leaf_attempt_ptr& attempt : waiting) {
    mLoad.OnDropped(
      attempt->mQueued, std::nullopt, attempt->mUsualWork, event_loop::Now());
    attempt->End({ attempt_end::NotSent, {}, aReason });
  }
}

void
leaf_peer::OnLinkConnected(model::duration aRoundTrip, model::instant aNow)
{
  mProbes = false;
  mLoad.OnConnected(aRoundTrip, aNow);
  Dispatch(aNow);
}

void
leaf_peer::OnLinkClosed(leaf_link& aLink, link_end aEnd, const char* aReason)
{
  const auto place =
    std::find_if(mLinks.begin(), mLinks.end(), [&](const auto& aOwned) {
      return aOwned.get() == &aLink;
    });
  if (place != mLinks.end()) {
    // The link's own functions are on the stack.
    mLoop.Defer([link = std::shared_ptr<leaf_link>(std::move(*place))] {});
    mLinks.erase(place);
  }
  if (std::strcmp(aReason, "idle") != 0) {
    mObserver.OnLinkLost(*this, aReason);
  }
  const model::instant now = event_loop::Now();
  if (aEnd == link_end::Rested) {
    mOpensAheadFrom = now + mOpensAheadAfter;
  } else if (aEnd == link_end::Capped) {
    // Others hold its connections, or machines without power seem to.
    if (!mProbes) {
      mCappedUntil = now + kCapPause;
    }
  } else if (aEnd == link_end::Refused) {
    mProbes = false;
    mLoad.OnRefused(now);
    Settle(mDeaths.OnRefused());
  }
  const bool useless = aEnd == link_end::Capped || aEnd == link_end::Refused;
  if (useless && mLinks.empty()) {
    FailWaiting(aReason);
  }
}

void
leaf_peer::OnAttemptDone(const leaf_attempt& aAttempt,
                         const attempt_outcome& aOutcome)
{
  const auto& [end, useful, at] = aOutcome;
  const auto work = at - *aAttempt.mSent - mLoad.RoundTrip();
  std::optional<model::duration> excess;
  const model::duration known = mLoad.Excess(at);
  if (end == attempt_end::Answered && useful) {
    excess = mLoad.OnAnswer(aAttempt.mQueued, work, aAttempt.mUsualWork, at);
  } else if (end == attempt_end::Answered || end == attempt_end::NotRun) {
    mLoad.OnUseless(aAttempt.mQueued, at);
    mObserver.OnUseless(*this);
  } else {
    excess = mLoad.OnDropped(aAttempt.mQueued, work, aAttempt.mUsualWork, at);
  }
  const auto least = std::max<model::duration>(aAttempt.mUsualWork, kLeastTold);
  if (excess && (*excess > least || known - *excess > least)) {
    mObserver.OnSpeed(*this, *excess);
  }
}

bool
leaf_peer::Has(const leaf_link& aLink) const
{
  return std::any_of(mLinks.begin(), mLinks.end(), [&](const auto& aOwned) {
    return aOwned.get() == &aLink;
  });
}

} // namespace monsooncroft::gateway
