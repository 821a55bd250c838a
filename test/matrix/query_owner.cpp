/**
 * @file query_owner.cpp
 * The owner's part and the fake leaves.
 */
#include "matrix/query_run_type.h"
#include "matrix/query_world.h"
#include "policy/replica_chooser_base.h"

namespace monsooncroft::test {

using namespace std::chrono_literals;
using model::attempt_outcome;

namespace {

constexpr model::duration kLeafHop = 200us;

} // namespace

void
query_world::RunOwner(const relay_ptr& aRelay)
{
  const run_ptr run = aRelay->mRun;
  policy::fanout_plan plan;
  plan.mRequest = run->mRequest;
  plan.mIdempotent = run->mIdempotent;
  plan.mDeadline = run->mDeadline - kReplyMargin;
  plan.mSnapshot = aRelay->mSnapshot;
  plan.mAttemptPrefix = "o" + std::to_string(++mPlans) + ".";
  policy::replica_chooser chooser(mCell.mSeed);
  for (const policy::send_effect& send : aRelay->mSends) {
    std::vector<policy::replica_state> replicas;
    for (const auto& leaf : run->Service().FindShard(send.mShard)->mReplicas) {
      const bool near = leaf.Value()[0] == 'n';
      if (near == aRelay->mOwner->mNear) {
        policy::replica_state state;
        state.mTarget = policy::target_id(leaf.Value());
        state.mLeaving =
          mDrains.Eligibility(leaf, mNow) != policy::leaf_eligibility::Usable;
        replicas.push_back(state);
      }
    }
    plan.mShards.push_back({ send.mShard, chooser.Order(replicas) });
  }
  aRelay->mFanout =
    std::make_shared<policy::fanout>(plan, mOwnerHedge, mBudget, mCell.mSeed);
  if (run->mPassage != once::screening_permit::Unrestricted ||
      !run->mIdempotent) {
    aRelay->mFanout->ForbidExtraAttempts();
  }
  CarryOwner(aRelay, aRelay->mFanout->Start(mNow));
}

void
query_world::CarryOwner(const relay_ptr& aRelay,
                        const policy::fanout_effects& aEffects)
{
  world_entry& owner = *aRelay->mOwner;
  for (const policy::fanout_effect& effect : aEffects) {
    if (const auto* send = std::get_if<policy::send_effect>(&effect)) {
      In(owner, 0ms, [=, this, copy = *send] { Submit(aRelay, copy); });
    } else if (const auto* cancel =
                 std::get_if<policy::cancel_effect>(&effect)) {
      In(owner, 0ms, [=, this, &owner, copy = *cancel] {
        CancelAt(owner, copy);
      });
    } else {
      std::vector<model::attempt_result> results;
      const auto report = aRelay->mFanout->Report();
      for (std::size_t i = 0; i < report.mShards.size(); ++i) {
        auto result = report.mShards[i].mLastResult;
        result.mAttempt = aRelay->mSends[i].mAttempt;
        result.mShard = report.mShards[i].mShard;
        result.mOutcome = policy::SummaryOutcome(report.mShards[i]);
        results.push_back(result);
      }
      In(owner, 0ms, [=, this] { OnRelayEnd(aRelay, results); });
    }
  }
  if (const auto wake = aRelay->mFanout->NextWake()) {
    In(owner, *wake - mNow, [=, this] {
      CarryOwner(aRelay, aRelay->mFanout->OnTimer(mNow));
    });
  }
}

void
query_world::Submit(const relay_ptr& aRelay, const policy::send_effect& aSend)
{
  world_entry& owner = *aRelay->mOwner;
  const std::string leaf = aSend.mTarget.Value();
  leaf_way& way = owner.mWays.try_emplace(leaf, leaf).first->second;
  leaf_job job;
  job.mSend = aRelay->mRun->mSend;
  job.mItem.mAttempt = aSend.mAttempt;
  job.mItem.mDeadline = aRelay->mFanout->Plan().mDeadline;
  job.mShard = aSend.mShard;
  job.mSnapshot = aRelay->mSnapshot;
  job.mSendBefore = aRelay->mRun->mSendBefore;
  job.mDone = [=, this](const model::attempt_result& aResult) {
    CarryOwner(aRelay, aRelay->mFanout->OnResult(aResult, mNow));
  };
  job.mForbidExtra = [=] { aRelay->mFanout->ForbidExtraAttempts(); };
  way.mJobs.emplace(aSend.mAttempt, job);
  way.mQueue.SetDraining(mLeaves[leaf].mLeaving);
  CarryWay(owner, leaf, way.mQueue.Offer(job.mItem, mNow));
}

void
query_world::CancelAt(world_entry& aWho, const policy::cancel_effect& aCancel)
{
  const std::string leaf = aCancel.mTarget.Value();
  const auto way = aWho.mWays.find(leaf);
  if (way != aWho.mWays.end()) {
    // What runs goes on: the leaf may ignore a cancellation.
    CarryWay(aWho, leaf, way->second.mQueue.OnCancel(aCancel.mAttempt));
  }
}

void
query_world::CarryWay(world_entry& aWho,
                      const std::string& aLeaf,
                      const policy::admission_effects& aEffects)
{
  leaf_way& way = aWho.mWays.at(aLeaf);
  for (const policy::admission_effect& effect : aEffects) {
    if (const auto* go = std::get_if<policy::dispatch_effect>(&effect)) {
      leaf_job& job = way.mJobs.at(go->mAttempt);
      mEvidence.mWorkWhileLeaving += mLeaves[aLeaf].mLeaving ? 1 : 0;
      job.mSent = true;
      job.mSentAt = mNow;
      const auto& request = mEvidence.mSends[job.mSend].mRequest;
      Reach(step::Dispatch, request, aWho, aLeaf);
      In(aWho, 0ms, [=, this, &aWho, attempt = go->mAttempt] {
        SendToLeaf(aWho, aLeaf, attempt);
      });
    } else {
      const auto refused = std::get<policy::refuse_effect>(effect);
      const leaf_job job = way.mJobs.at(refused.mAttempt);
      way.mJobs.erase(refused.mAttempt);
      In(aWho, 0ms, [=] {
        job.mDone({ refused.mAttempt,
                    job.mShard,
                    model::leaf_id(aLeaf),
                    attempt_outcome::NotSent,
                    0,
                    policy::ToString(refused.mRefusal),
                    "" });
      });
    }
  }
  if (const auto wake = way.mQueue.NextWake()) {
    In(aWho, *wake - mNow, [=, this, &aWho, &way] {
      CarryWay(aWho, aLeaf, way.mQueue.OnTimer(mNow));
    });
  }
}

void
query_world::SendToLeaf(world_entry& aWho,
                        const std::string& aLeaf,
                        const model::attempt_id& aAttempt)
{
  leaf_way& way = aWho.mWays.at(aLeaf);
  const leaf_job job = way.mJobs.at(aAttempt);
  model::attempt_result result{
    aAttempt, job.mShard, model::leaf_id(aLeaf), attempt_outcome::NotSent, 0,
    "",       "",
  };
  if (job.mSendBefore && Clock().mWall >= *job.mSendBefore) {
    End(aWho, aLeaf, aAttempt, result);
    return;
  }
  if (!mLeaves[aLeaf].mUp) {
    In(
      aWho, kLeafHop, [=, this, &aWho] { End(aWho, aLeaf, aAttempt, result); });
    return;
  }
  result.mOutcome = attempt_outcome::Lost;
  result.mReason = "timeout";
  In(aWho, job.mItem.mDeadline - mNow, [=, this, &aWho] {
    aWho.mWays.at(aLeaf).mSilent = false; // Retired for a new one.
    End(aWho, aLeaf, aAttempt, result);
  });
  if (!way.mSilent) {
    After(kLeafHop, [=, this, &aWho] { Execute(aWho, aLeaf, aAttempt, job); });
  }
}

void
query_world::Execute(world_entry& aWho,
                     const std::string& aLeaf,
                     const model::attempt_id& aAttempt,
                     const leaf_job& aJob)
{
  fake_leaf& leaf = mLeaves[aLeaf];
  const auto request = mEvidence.mSends[aJob.mSend].mRequest;
  model::attempt_result result{
    aAttempt, aJob.mShard, model::leaf_id(aLeaf), attempt_outcome::Lost, 0,
    "",       "",
  };
  const auto answer = [=, this, &aWho](const model::attempt_result& aResult) {
    In(aWho, kLeafHop, [=, this, &aWho] {
      End(aWho, aLeaf, aAttempt, aResult);
    });
  };
  if (!leaf.mUp) {
    answer(result);
    return;
  }
  if (leaf.mHolds.count(aJob.mSnapshot) == 0) {
    result.mOutcome = attempt_outcome::NotHeld;
    answer(result);
    return;
  }
  const std::string text = request.Value() + "|" + aJob.mShard.Value() + "|" +
                           std::to_string(aJob.mSnapshot) + "|" + aLeaf;
  mEvidence.mExecutions.push_back({ aJob.mSend, request, aJob.mShard, text });
  const int boot = leaf.mBoot;
  leaf.mOnCrash.emplace_back([=] { answer(result); });
  Reach(step::Run, request, aWho, aLeaf);
  if (request == mKilling && aJob.mShard.Value() == "s0" && leaf.mUp) {
    ++mEvidence.mKilled;
    Crash(aLeaf, true);
  }
  const auto life = aWho.mLife;
  After(leaf.mService, [=, this, &leaf, &aWho] {
    if (leaf.mBoot != boot || aWho.mLife != life) {
      return;
    }
    Reach(step::Reply, request, aWho, aLeaf);
    const auto way = aWho.mWays.find(aLeaf);
    if (way == aWho.mWays.end() || leaf.mBoot != boot || way->second.mSilent) {
      return;
    }
    auto end = result;
    end.mOutcome = attempt_outcome::Ok;
    end.mSnapshot = aJob.mSnapshot;
    end.mResult = "[\"" + text + "\"]";
    answer(end);
  });
}

void
query_world::End(world_entry& aWho,
                 const std::string& aLeaf,
                 const model::attempt_id& aAttempt,
                 model::attempt_result aResult)
{
  leaf_way& way = aWho.mWays.at(aLeaf);
  const auto found = way.mJobs.find(aAttempt);
  if (found == way.mJobs.end()) {
    return;
  }
  const leaf_job job = found->second;
  way.mJobs.erase(found);
  const auto effects =
    way.mQueue.OnDone(aAttempt, aResult.mOutcome, mNow - job.mSentAt, mNow);
  CarryWay(aWho, aLeaf, effects);
  const bool died =
    aResult.mOutcome == attempt_outcome::Lost && aResult.mReason.empty();
  if (died) {
    Suspect(aWho, aLeaf, job, [=] { job.mDone(aResult); });
    return;
  }
  job.mDone(aResult);
}

/** Holds the result back until the leaf's death is proved or not. */
void
query_world::Suspect(world_entry& aWho,
                     const std::string& aLeaf,
                     const leaf_job& aJob,
                     const task& aThen)
{
  model::query query;
  query.mService = model::service_id("annex");
  query.mBody = mEvidence.mSends[aJob.mSend].mRequest.Value();
  leaf_way& way = aWho.mWays.at(aLeaf);
  aWho.mQuarantine->AddSuspicion(way.mDeaths.OnConnectionLost(
    once::HashContent(query), query.mService, mNow));
  aJob.mForbidExtra();
  In(aWho, 1ms, [=, this, &aWho, &way] {
    const fake_leaf& leaf = mLeaves[aLeaf];
    const auto settled = leaf.mUp
                           ? way.mDeaths.OnBootId(std::to_string(leaf.mBoot))
                           : way.mDeaths.OnConnectionRefused();
    Settle(aWho, settled);
    In(aWho, 5ms, aThen); // The marks come first.
  });
}

void
query_world::Settle(world_entry& aWho, const once::settled_suspicions& aSettled)
{
  std::vector<once::crash_mark> marks;
  for (const once::suspicion& each : aSettled.mConfirmed) {
    marks.push_back(aWho.mQuarantine->ConfirmSuspicion(each, Clock().mWall));
  }
  for (const once::suspicion& each : aSettled.mDismissed) {
    aWho.mQuarantine->DismissSuspicion(each);
  }
  Spread(aWho, marks);
}

void
query_world::Spread(const world_entry& aFrom,
                    const std::vector<once::crash_mark>& aMarks)
{
  for (world_entry& each : mEntries) {
    for (const once::crash_mark& mark : aMarks) {
      if (&each != &aFrom && !Cut(aFrom, each)) {
        In(each, 1500us, [=, this, &each] {
          each.mQuarantine->Merge(mark, Clock().mWall);
        });
      }
    }
  }
}

} // namespace monsooncroft::test
