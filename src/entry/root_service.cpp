/**
 * @file root_service.cpp
 * One query from its arrival to its answer.
 */
#include "entry/root_service_base.h"

#include "entry/clock_func.h"
#include "entry/fanout_driver_base.h"
#include "entry/manifest_table_base.h"
#include "entry/owner_service_base.h"
#include "entry/snapshot_table_base.h"
#include "entry/target_table_base.h"
#include "ops/metrics_base.h"
#include "policy/answer_func.h"

#include <algorithm>
#include <future>
#include <utility>

namespace monsooncroft::entry {

namespace {

/** Longest wait for the owners' word on index versions at a first query. */
constexpr model::duration kFirstHeldWait{ 100000 };
/** Time kept for merging and for the reply's way to the caller. */
constexpr model::duration kAnswerMargin{ 3000 };
/** A second run at another snapshot needs at least this. */
constexpr model::duration kLeastReplanTime{ 5000 };
/** A shard that goes first alone gets this part of the time, one in so many:
 * a slow leaf must not cost the other shards their time. */
constexpr int kFirstPart = 3;

/** Whether a leaf died with an attempt of this run in flight. */
bool
LeafDied(const policy::fanout_report& aReport)
{
  return std::any_of(aReport.mShards.begin(),
                     aReport.mShards.end(),
                     [](const policy::shard_report& aShard) {
                       return aShard.mLastResult.mReason == kReasonLeafDied;
                     });
}

bool
AllAre(const policy::fanout_report& aReport, policy::shard_outcome aFate)
{
  return std::all_of(aReport.mShards.begin(),
                     aReport.mShards.end(),
                     [=](const policy::shard_report& aShard) {
                       return aShard.mOutcome == aFate;
                     });
}

} // namespace

root_service::root_service(const root_parts& aParts,
                           const hedge_options& aHedge)
  : mParts(aParts)
  , mHedge(aHedge)
  , mPrefix(aParts.mLinks.mSelf.Value() + "." +
            std::to_string(WallNow().time_since_epoch().count()) + ".r")
{
}

bool
root_service::Pin(const model::query& aQuery,
                  const run_terms& aTerms,
                  pinned& aOut) const
{
  aOut.mManifest = mParts.mManifests.Current();
  aOut.mOwners = mParts.mManifests.Owners();
  if (!aOut.mManifest || !aOut.mOwners) {
    return false;
  }
  // Owners and manifest change together only under the table's lock.
  aOut.mManifest = aOut.mOwners->Manifest();
  aOut.mService = aOut.mManifest->FindService(aQuery.mService);
  aOut.mContract = aOut.mService == nullptr
                     ? nullptr
                     : aOut.mService->FindContract(aQuery.mKind);
  if (aOut.mContract == nullptr) {
    return false;
  }
  const auto allowed =
    std::min(aQuery.mDeadline.value_or(aOut.mContract->mDeadline),
             aOut.mContract->mDeadline);
  aOut.mDeadline = aTerms.mArrived + allowed - kAnswerMargin;
  return true;
}

bool
root_service::PinSnapshot(pinned& aPinned)
{
  const model::manifest_version manifest = aPinned.mManifest->Version();
  auto version = mParts.mLinks.mSnapshots.Pick(*aPinned.mService, manifest);
  if (!version) {
    const model::duration left = aPinned.mDeadline - Now();
    AskHeld(aPinned.mService->mId,
            *aPinned.mOwners,
            std::min(kFirstHeldWait, left / 2));
    version = mParts.mLinks.mSnapshots.Pick(*aPinned.mService, manifest);
  }
  aPinned.mSnapshot = version.value_or(0);
  return version.has_value();
}

model::answer
root_service::Run(const model::query& aQuery, const run_terms& aTerms)
{
  pinned pin;
  if (!Pin(aQuery, aTerms, pin)) {
    return policy::NotRunAnswer(aQuery.mRequest, nullptr, "not_ready");
  }
  model::answer answer;
  int leafAttempts = 0;
  if (!PinSnapshot(pin)) {
    answer = policy::NotRunAnswer(aQuery.mRequest, pin.mService, "no_snapshot");
    answer.mManifest = pin.mManifest->Version();
  } else {
    run_end end = FanOut(aQuery, aTerms, pin);
    leafAttempts = end.mLeafAttempts;
    const auto next =
      end.mCanReplan ? mParts.mLinks.mSnapshots.NextAfterNotHeld(*pin.mService,
                                                                 pin.mSnapshot)
                     : std::nullopt;
    bool ranBefore = false;
    if (next && pin.mDeadline - Now() > kLeastReplanTime) {
      ranBefore = end.mMayHaveRun;
      mParts.mMetrics.Count("replans");
      pin.mSnapshot = *next;
      end = FanOut(aQuery, aTerms, pin);
      leafAttempts += end.mLeafAttempts;
    }
    answer = policy::BuildAnswer(end.mPlan,
                                 end.mReport,
                                 *pin.mService,
                                 *pin.mContract,
                                 pin.mManifest->Version(),
                                 ranBefore);
    if (LeafDied(end.mReport)) {
      answer.mReason = kReasonLeafDied;
    }
  }
  Record(aQuery, aTerms, answer, pin, leafAttempts);
  return answer;
}

root_service::run_end
root_service::FanOut(const model::query& aQuery,
                     const run_terms& aTerms,
                     const pinned& aPinned)
{
  run_end end;
  end.mPlan = PlanOf(aQuery, aPinned);
  std::vector<policy::shard_plan> shards = end.mPlan.mShards;
  if (aTerms.mAlone) {
    // The first death was at the first shard; its other replica is needed.
    std::reverse(shards.begin(), shards.end());
  }
  std::size_t sent = 0;
  bool first = aTerms.mFirstAlone;
  policy::fanout_plan part = end.mPlan;
  while (sent < shards.size() && !LeafDied(end.mReport)) {
    const bool one = aTerms.mAlone || first;
    const auto from = shards.begin() + static_cast<std::ptrdiff_t>(sent);
    part.mShards.assign(from, one ? from + 1 : shards.end());
    part.mAttemptPrefix += first ? "f." : std::to_string(sent) + ".";
    sent += part.mShards.size();
    const bool more = first && sent < shards.size();
    part.mDeadline = more ? Now() + (aPinned.mDeadline - Now()) / kFirstPart
                          : aPinned.mDeadline;
    // A whole answer of the first shard clears the content: tails are cut
    // again.
    run_terms terms = aTerms;
    const bool cleared = aTerms.mFirstAlone && !end.mReport.mShards.empty() &&
                         AllAre(end.mReport, policy::shard_outcome::Answered);
    terms.mNoExtra = aTerms.mNoExtra && !(cleared && end.mPlan.mIdempotent);
    FanOutPart(aQuery, terms, aPinned, part, end);
    const bool again = more && end.mPlan.mIdempotent &&
                       !LeafDied(end.mReport) &&
                       !AllAre(end.mReport, policy::shard_outcome::Answered);
    if (again) {
      // Slow or unreachable, but nothing died: it goes with the others.
      end.mReport.mShards.clear();
      sent = 0;
    }
    first = false;
  }
  for (; sent < shards.size(); ++sent) {
    policy::shard_report held;
    held.mShard = shards[sent].mShard;
    held.mLastResult.mReason = "held_back";
    end.mReport.mShards.push_back(std::move(held));
  }
  if (aTerms.mAlone) {
    std::reverse(end.mReport.mShards.begin(), end.mReport.mShards.end());
  }
  end.mCanReplan = end.mCanReplan && !LeafDied(end.mReport) &&
                   (end.mPlan.mIdempotent ||
                    AllAre(end.mReport, policy::shard_outcome::NotRun));
  return end;
}

void
root_service::FanOutPart(const model::query& aQuery,
                         const run_terms& aTerms,
                         const pinned& aPinned,
                         const policy::fanout_plan& aPart,
                         run_end& aEnd)
{
  relay_request pattern;
  pattern.mRequest = aQuery.mRequest;
  pattern.mService = aQuery.mService;
  pattern.mKind = aQuery.mKind;
  pattern.mTenant = aQuery.mWorkspace;
  pattern.mManifest = aPinned.mManifest->Version();
  pattern.mSnapshot = aPinned.mSnapshot;
  pattern.mSendBefore = aTerms.mSendBefore;
  pattern.mNoExtra = aTerms.mNoExtra;
  pattern.mAlone = aTerms.mAlone;
  pattern.mBody = aQuery.mBody;
  const auto budget = Budget(aQuery);
  const auto sender = std::make_shared<owner_sender>(mParts.mLinks,
                                                     aPinned.mOwners->View(),
                                                     std::move(pattern),
                                                     aPart.mDeadline,
                                                     budget);
  auto decisions = std::make_unique<policy::fanout>(
    aPart, *budget, *budget, static_cast<std::uint32_t>(mNumber));
  if (aTerms.mNoExtra) {
    decisions->ForbidExtraAttempts();
  }
  const auto driver = std::make_shared<fanout_driver>(
    mParts.mTimers, sender, std::move(decisions));
  auto promise = std::make_shared<std::promise<void>>();
  // Late replies still reach the driver, which the budget must outlive.
  driver->Start([promise, budget](const fanout_driver& /*aDriver*/) {
    promise->set_value();
  });
  promise->get_future().wait();
  for (policy::shard_report& shard : driver->Fanout().Report().mShards) {
    aEnd.mReport.mShards.push_back(std::move(shard));
  }
  aEnd.mCanReplan = aEnd.mCanReplan || driver->Fanout().CanReplan();
  aEnd.mMayHaveRun = aEnd.mMayHaveRun || driver->Fanout().MayHaveRun();
  aEnd.mLeafAttempts += sender->LeafAttempts();
}

policy::fanout_plan
root_service::PlanOf(const model::query& aQuery, const pinned& aPinned)
{
  const unsigned long number = mNumber.fetch_add(1);
  policy::fanout_plan plan;
  plan.mRequest = aQuery.mRequest;
  plan.mIdempotent = aPinned.mContract->mIdempotent;
  plan.mUrgency = aPinned.mContract->mUrgency;
  plan.mDeadline = aPinned.mDeadline;
  plan.mSnapshot = aPinned.mSnapshot;
  plan.mAttemptPrefix = mPrefix + std::to_string(number) + ".";
  for (const model::shard& shard : aPinned.mService->mShards) {
    plan.mShards.push_back({ shard.mId, Candidates(shard, aPinned, number) });
  }
  return plan;
}

std::vector<policy::target_id>
root_service::Candidates(const model::shard& aShard,
                         const pinned& aPinned,
                         std::size_t aTurn) const
{
  std::vector<owner_target> local;
  std::vector<owner_target> remote;
  for (const model::leaf_id& replica : aShard.mReplicas) {
    const cluster::leaf_group* group = aPinned.mOwners->GroupOf(replica);
    if (group == nullptr) {
      continue;
    }
    auto& list = group->mDataCentre == mParts.mDataCentre ? local : remote;
    const auto add = [&](const model::instance_id& aInstance) {
      const owner_target target{ aInstance, group->mDataCentre };
      if (std::find(list.begin(), list.end(), target) == list.end()) {
        list.push_back(target);
      }
    };
    for (const model::instance_id& owner : group->mOwners) {
      add(owner);
    }
    if (group->mOwners.empty()) {
      add(mParts.mLinks.mSelf);
    }
  }
  // Other data centres take turns, so that none gets all the overflow.
  if (!remote.empty()) {
    const auto turn = static_cast<std::ptrdiff_t>(aTurn % remote.size());
    std::rotate(remote.begin(), remote.begin() + turn, remote.end());
  }
  std::vector<policy::target_id> targets;
  for (const auto* list : { &local, &remote }) {
    for (const owner_target& target : *list) {
      targets.push_back(target.ToTarget());
    }
  }
  // A request that runs at most once has no hedge to make up for a probe.
  return mParts.mLinks.mTargets.Order(aPinned.mService->mId,
                                      std::move(targets),
                                      aTurn,
                                      aPinned.mContract->mIdempotent);
}

std::shared_ptr<shared_budget>
root_service::Budget(const model::query& aQuery)
{
  const std::lock_guard lock(mMutex);
  auto& budget = mBudgets[{ aQuery.mService, aQuery.mKind }];
  if (!budget) {
    auto& wider = mBudgets[{ model::service_id(), aQuery.mKind }];
    if (!wider) {
      wider = std::make_shared<shared_budget>(mHedge);
    }
    budget = std::make_shared<shared_budget>(mHedge, wider);
  }
  return budget;
}

void
root_service::Record(const model::query& aQuery,
                     const run_terms& aTerms,
                     const model::answer& aAnswer,
                     const pinned& aPinned,
                     int aLeafAttempts)
{
  ops::query_measurements figures;
  figures.mLatency = Now() - aTerms.mArrived;
  figures.mCoverage = aAnswer.mCoverage.Fraction();
  figures.mAttempts = aLeafAttempts;
  figures.mMinAttempts = static_cast<int>(aPinned.mService->mShards.size());
  figures.mStatus = model::ToString(aAnswer.mStatus);
  mParts.mMetrics.RecordQuery(
    { aQuery.mService, aQuery.mKind, aQuery.mWorkspace }, figures);
}

} // namespace monsooncroft::entry
