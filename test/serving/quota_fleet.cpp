/**
 * @file quota_fleet.cpp
 * A fleet that admits the requests of one workspace, in virtual time.
 */
#include "quota_fleet_node.h"

#include <algorithm>
#include <cmath>

namespace monsooncroft::serving {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr workspace_hash kWorkspace = 2'000;
constexpr int kStoreSide = 0; ///< Side of a partition that has the store.
constexpr milliseconds kTick{ 50 };
constexpr milliseconds kMembershipPeriod{ 100 };
constexpr milliseconds kConfigDelay{ 2'000 };

} // namespace

simulated_quota_fleet::simulated_quota_fleet(
  const quota_fleet_settings& aSettings,
  std::uint32_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mLimits{ { mNow, aSettings.mLimit } }
{
  for (std::size_t index = 0; index < aSettings.mInstances; ++index) {
    mNodes.push_back(std::make_unique<node>());
  }
  for (std::size_t index = 0; index < mNodes.size(); ++index) {
    Start(index);
  }
  UpdateMembership();
}

simulated_quota_fleet::~simulated_quota_fleet() = default;

void
simulated_quota_fleet::At(model::instant aWhen, std::function<void()> aDo)
{
  mEvents.push({ aWhen, mNextEvent++, std::move(aDo) });
}

void
simulated_quota_fleet::RunUntil(model::instant aEnd)
{
  while (!mEvents.empty() && mEvents.top().mAt <= aEnd) {
    const auto next = mEvents.top();
    mEvents.pop();
    mNow = next.mAt;
    next.mDo();
  }
  mNow = aEnd;
}

void
simulated_quota_fleet::Run(model::duration aFor, double aPerSecond)
{
  const model::instant end = mNow + aFor;
  if (aPerSecond <= 0) {
    RunUntil(end);
    return;
  }
  std::exponential_distribution<double> gap(aPerSecond);
  while (true) {
    const model::instant next =
      mNow + std::chrono::duration_cast<model::duration>(
               std::chrono::duration<double>(gap(mRandom)));
    if (next >= end) {
      RunUntil(end);
      return;
    }
    RunUntil(next);
    SendRequest();
  }
}

bool
simulated_quota_fleet::IsRunning(std::size_t aIndex) const
{
  return mNodes[aIndex]->mAgent && mNow >= mNodes[aIndex]->mFrozenUntil;
}

bool
simulated_quota_fleet::IsConnected(std::size_t aFrom, std::size_t aTo) const
{
  return mNodes[aFrom]->mSide == mNodes[aTo]->mSide;
}

void
simulated_quota_fleet::SendRequest()
{
  std::uniform_real_distribution<double> chance(0, 1);
  const std::size_t index =
    chance(mRandom) < mSettings.mSkew ? 0 : mRandom() % mNodes.size();
  if (mNodes[index]->mAgent && mNodes[index]->mPeers->HasConfig()) {
    ++mRequests;
    if (IsRunning(index)) {
      Submit(index);
    } else {
      mNodes[index]->mMissed.push_back([this, index] { Submit(index); });
    }
  }
}

void
simulated_quota_fleet::Submit(std::size_t aIndex)
{
  node& here = *mNodes[aIndex];
  const auto decided = std::make_shared<bool>(false);
  const model::instant sentAt = mNow;
  here.mAgent->Admit(
    kWorkspace,
    here.mLimit,
    [this, decided](const quota_outcome& aOutcome) {
      *decided = true;
      if (aOutcome.mAdmitted) {
        mAdmissions.push_back(mNow);
      } else {
        ++mRefusals;
        mRetryDelays.push_back(aOutcome.mRetryAfter);
      }
    },
    sentAt);
  here.mAgent->Flush(mNow);
  mDelayed += *decided ? 0 : 1;
  ScheduleTimer(aIndex);
}

void
simulated_quota_fleet::Deliver(std::size_t aFrom,
                               std::size_t aTo,
                               const quota_message& aMessage)
{
  ++mMessages;
  std::uniform_real_distribution<double> chance(0, 1);
  if (!IsConnected(aFrom, aTo) || chance(mRandom) < mSettings.mLoss) {
    return;
  }
  const std::uint64_t sender = mNodes[aFrom]->mIncarnation;
  const int copies = chance(mRandom) < mSettings.mDuplicates ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto handling = static_cast<std::uint32_t>(
      microseconds(aTo % 5 == 0 ? mSettings.mMaxSlowHandling
                                : mSettings.mMaxHandling)
        .count());
    const auto oneWay = microseconds(aFrom % 3 == aTo % 3 ? 150 : 1'400);
    At(mNow + oneWay + microseconds(mRandom() % (handling + 1)),
       [this, aFrom, sender, aTo, aMessage] {
         if (!IsConnected(aFrom, aTo) || !mNodes[aTo]->mAgent) {
           return;
         }
         if (IsRunning(aTo)) {
           Handle(aFrom, sender, aTo, aMessage);
         } else {
           mNodes[aTo]->mMissed.push_back([this, aFrom, sender, aTo, aMessage] {
             Handle(aFrom, sender, aTo, aMessage);
           });
         }
       });
  }
}

void
simulated_quota_fleet::Handle(std::size_t aFrom,
                              std::uint64_t aSender,
                              std::size_t aTo,
                              const quota_message& aMessage)
{
  quota_message message = aMessage;
  if (!mSettings.mRestricts) {
    for (quota_notice& notice : message.mNotices) {
      notice.mRestricted.clear();
    }
    for (quota_reply& reply : message.mReplies) {
      for (quota_decision& decision : reply.mDecisions) {
        decision.mRestricted = false;
      }
    }
  }
  mNodes[aTo]->mAgent->OnMessage(message, aSender, EndpointOf(aFrom), mNow);
  mNodes[aTo]->mAgent->Flush(mNow);
  ScheduleTimer(aTo);
}

void
simulated_quota_fleet::ScheduleTimer(std::size_t aIndex)
{
  if (const auto next = mNodes[aIndex]->mAgent->NextTimer()) {
    At(std::max(*next, mNow),
       [this, aIndex, incarnation = mNodes[aIndex]->mIncarnation] {
         node& here = *mNodes[aIndex];
         if (here.mAgent && here.mIncarnation == incarnation &&
             IsRunning(aIndex)) {
           here.mAgent->OnTimer(mNow);
         }
       });
  }
}

void
simulated_quota_fleet::Tick(std::size_t aIndex, std::uint64_t aIncarnation)
{
  node& here = *mNodes[aIndex];
  if (here.mAgent && here.mIncarnation == aIncarnation) {
    if (IsRunning(aIndex)) {
      for (const auto& missed : std::exchange(here.mMissed, {})) {
        missed();
      }
      here.mAgent->OnTimer(mNow);
      ScheduleTimer(aIndex);
    }
    At(mNow + kTick,
       [this, aIndex, aIncarnation] { Tick(aIndex, aIncarnation); });
  }
}

void
simulated_quota_fleet::Crash(std::size_t aIndex)
{
  mNodes[aIndex]->mAgent.reset();
  mNodes[aIndex]->mPeers.reset();
  mNodes[aIndex]->mMissed.clear();
}

void
simulated_quota_fleet::Start(std::size_t aIndex)
{
  Crash(aIndex);
  node& here = *mNodes[aIndex];
  here.mIncarnation = ++mIncarnations;
  here.mFrozenUntil = mNow;
  here.mLimit = mLimits.back().second;
  here.mPeers = std::make_unique<peers>(*this, aIndex);
  here.mAgent = std::make_unique<quota_agent>(*here.mPeers,
                                              here.mObserver,
                                              mSettings.mQuota,
                                              here.mIncarnation * 100'000);
  here.mAgent->SetLimits({ { kWorkspace, here.mLimit } }, mNow);
  At(mNow + milliseconds(mRandom() % kTick.count()),
     [this, aIndex, incarnation = here.mIncarnation] {
       Tick(aIndex, incarnation);
     });
}

void
simulated_quota_fleet::Freeze(std::size_t aIndex, model::duration aFor)
{
  mNodes[aIndex]->mFrozenUntil = mNow + aFor;
}

void
simulated_quota_fleet::SetSide(std::size_t aIndex, int aSide)
{
  mNodes[aIndex]->mSide = aSide;
}

void
simulated_quota_fleet::SetLimit(const quota_limit& aLimit)
{
  mLimits.emplace_back(mNow, aLimit);
  for (std::size_t index = 0; index < mNodes.size(); ++index) {
    At(mNow + milliseconds(mRandom() % kConfigDelay.count()),
       [this, index, aLimit] {
         node& here = *mNodes[index];
         if (here.mAgent && mLimits.back().second == aLimit) {
           here.mLimit = aLimit;
           here.mAgent->SetLimits({ { kWorkspace, aLimit } }, mNow);
         }
       });
  }
}

std::size_t
simulated_quota_fleet::Issuer() const
{
  for (const auto& each : mNodes) {
    if (each->mPeers) {
      return IndexOf(each->mPeers->Keepers(0).mIssuer.mPeer);
    }
  }
  return 0;
}

void
simulated_quota_fleet::UpdateMembership()
{
  for (std::size_t to = 0; to < mNodes.size(); ++to) {
    if (IsRunning(to) && mNodes[to]->mSide == kStoreSide) {
      mNodes[to]->mPeers->OnStoreReached();
    }
    for (std::size_t from = 0; from < mNodes.size(); ++from) {
      // A heartbeat is up to 0.9 s old when it arrives.
      const milliseconds age{ cluster::RendezvousWeight(from, to) % 900 };
      if (from != to && IsRunning(to) && IsRunning(from) &&
          IsConnected(from, to)) {
        mNodes[to]->mPeers->OnContact(from, mNow - age, *mNodes[from]->mPeers);
      }
    }
  }
  At(mNow + kMembershipPeriod, [this] { UpdateMembership(); });
}

double
simulated_quota_fleet::WorstExcess() const
{
  const auto window = mSettings.mQuota.mWindow;
  double worst = -1e9;
  for (auto first = mAdmissions.begin(); first != mAdmissions.end(); ++first) {
    const auto end =
      std::lower_bound(first, mAdmissions.end(), *first + window);
    double quota = 0;
    for (std::size_t index = 0; index < mLimits.size(); ++index) {
      const bool isOver =
        index + 1 < mLimits.size() &&
        mLimits[index + 1].first + kConfigDelay + window < *first;
      if (!isOver && mLimits[index].first <= *first + window) {
        const quota_limit& limit = mLimits[index].second;
        quota = std::max(quota,
                         limit.mRatePerSecond *
                             std::chrono::duration<double>(window).count() +
                           limit.mBurst);
      }
    }
    const double bound =
      quota * (1 + mSettings.mQuota.mOverage) + mSettings.mQuota.mSlack;
    worst = std::max(worst, static_cast<double>(end - first) - bound);
  }
  return worst;
}

} // namespace monsooncroft::serving
