/**
 * @file query_root.cpp
 * The root's part: record, plan, messages to owners, answer.
 */
#include "matrix/query_run_type.h"
#include "matrix/query_world.h"
#include "policy/answer_func.h"

#include <algorithm>

namespace monsooncroft::test {

using namespace std::chrono_literals;

namespace {

constexpr model::duration kLocalHop = 200us;
constexpr model::duration kFarHop = 1500us;

model::duration
Hop(const world_entry& aFrom, const world_entry& aTo)
{
  return aFrom.mNear == aTo.mNear ? kLocalHop : kFarHop;
}

} // namespace

model::answer
query_world::Unproven(const run_ptr& aRun, const std::string& aReason)
{
  const auto& manifest = *mEvidence.mManifests[mCurrent];
  auto answer =
    policy::NotRunAnswer(aRun->mRequest, &manifest.Services()[0], aReason);
  answer.mStatus = model::status::Unknown;
  answer.mManifest = manifest.Version();
  return answer;
}

void
query_world::RunOnce(const run_ptr& aRun, const reply& aDone)
{
  world_entry& root = *aRun->mRoot;
  const auto request = once::HashRequest(aRun->mQuery);
  const auto arrival =
    root.mMemory->Register(request, once::HashContent(aRun->mQuery), mNow);
  if (arrival.mKind == once::arrival_kind::Stored) {
    aDone(*arrival.mAnswer);
    return;
  }
  if (arrival.mKind == once::arrival_kind::Running) {
    const auto told = std::make_shared<bool>(false);
    const reply once = [=](const model::answer& aAnswer) {
      if (!std::exchange(*told, true)) {
        aDone(aAnswer);
      }
    };
    root.mJoined.push_back(once);
    In(root, aRun->mDeadline - mNow, [=, this] {
      once(Unproven(aRun, "still_running"));
    });
    return;
  }
  aRun->mDone = [=, this, &root](const model::answer& aAnswer) {
    root.mMemory->Finish(request, aAnswer, mNow);
    const bool kept = aAnswer.mStatus != model::status::NotRun;
    for (const reply& joined : std::exchange(root.mJoined, {})) {
      joined(kept ? aAnswer : Unproven(aRun, "not_run_elsewhere"));
    }
    aDone(aAnswer);
  };
  root.mVerdicts.push_back(
    [=, this](const once::verdict& aVerdict) { OnVerdict(aRun, aVerdict); });
  const model::wall_instant issued(1000s);
  CarryRecord(
    root, root.mKeeper->Offer({ request, issued, aRun->mDeadline }, Clock()));
}

void
query_world::OnVerdict(const run_ptr& aRun, const once::verdict& aVerdict)
{
  world_entry& root = *aRun->mRoot;
  if (aVerdict.mKind == once::verdict_kind::Dispatch) {
    const reply done = aRun->mDone;
    aRun->mDone = [=, &root](const model::answer& aAnswer) {
      if (aAnswer.mStatus == model::status::NotRun) {
        root.mKeeper->ReleaseDispatch(aVerdict.mRequest);
      }
      done(aAnswer);
    };
    aRun->mSendBefore = aVerdict.mPermit.mExpiresAtWall;
    In(root, 0ms, [=, this] {
      if (once::MaySend(aVerdict.mPermit, Clock())) {
        Begin(aRun);
        return;
      }
      auto answer = Unproven(aRun, "paused");
      answer.mStatus = model::status::NotRun;
      aRun->mDone(answer);
    });
    return;
  }
  auto answer = Unproven(aRun, aVerdict.mReason);
  if (aVerdict.mKind == once::verdict_kind::NotRun) {
    answer.mStatus = model::status::NotRun;
  }
  aRun->mDone(answer);
}

void
query_world::Begin(const run_ptr& aRun)
{
  world_entry& root = *aRun->mRoot;
  aRun->mManifest = mEvidence.mManifests[mCurrent];
  const model::service& service = aRun->Service();
  aRun->mPassage = root.mQuarantine->Admit(
    once::HashContent(aRun->mQuery), service.mId, Clock().mWall);
  if (aRun->mPassage == once::screening_permit::Refused) {
    auto answer = Unproven(aRun, once::kReasonQuarantined);
    answer.mStatus = model::status::NotRun;
    aRun->mDone(answer);
    return;
  }
  if (aRun->mPassage != once::screening_permit::Unrestricted &&
      !AwaitTurn(aRun)) {
    return;
  }
  for (std::size_t i = 0; i < service.mShards.size(); ++i) {
    const bool alone =
      aRun->mPassage == once::screening_permit::Isolated ||
      (aRun->mPassage == once::screening_permit::FirstShardAlone && i == 1);
    if (i == 0 || alone) {
      aRun->mRounds.emplace_back();
    }
    aRun->mRounds.back().push_back(service.mShards[i].mId);
  }
  aRun->mSnapshot =
    mView.PickVersion(service, aRun->mManifest->Version()).value_or(0);
  Reach(step::Plan, aRun->mRequest, root, "n0a");
  In(root, 0ms, [=, this] { NextRound(aRun); });
}

/** Suspects run one at a time. @return Whether it is this one's turn. */
bool
query_world::AwaitTurn(const run_ptr& aRun)
{
  if (std::exchange(aRun->mHasTurn, true)) {
    return true;
  }
  world_entry& root = *aRun->mRoot;
  const std::string key = once::ScreeningKey(
    aRun->mPassage, once::HashContent(aRun->mQuery), aRun->mQuery.mService);
  const auto left = std::make_shared<bool>(false);
  const task leave = [=, this] {
    const auto next =
      std::exchange(*left, true) ? std::nullopt : mTrials.ReleaseTurn(key);
    if (next) {
      mWaitingTrials.at (*next)();
    }
  };
  const reply done = aRun->mDone;
  aRun->mDone = [=](const model::answer& aAnswer) {
    leave();
    done(aAnswer);
  };
  const auto entry = mTrials.Enqueue(key, aRun->mSend, aRun->mDeadline);
  if (entry == once::enqueue_result::Proceed) {
    // A root that was lost does not keep its turn.
    After(aRun->mDeadline - mNow + 1ms, leave);
    return true;
  }
  mWaitingTrials[aRun->mSend] = [=, this, &root] {
    After(aRun->mDeadline - mNow + 1ms, leave);
    In(root, 0ms, [=, this] { Begin(aRun); }); // Judged again.
  };
  mExpiredTrials[aRun->mSend] = [=, this, &root] {
    auto answer = Unproven(aRun, "trials_full");
    answer.mStatus = model::status::NotRun;
    In(root, 0ms, [=] { done(answer); });
  };
  After(aRun->mDeadline - mNow, [this] {
    for (const once::screening_id expired : mTrials.RemoveExpired(mNow)) {
      mExpiredTrials.at(expired)();
    }
  });
  return false;
}

void
query_world::NextRound(const run_ptr& aRun)
{
  policy::fanout_plan plan;
  plan.mRequest = aRun->mRequest;
  plan.mIdempotent = aRun->mIdempotent;
  plan.mDeadline = aRun->mDeadline;
  plan.mSnapshot = aRun->mSnapshot;
  plan.mAttemptPrefix = "r" + std::to_string(++mPlans) + ".";
  const std::size_t turn = mCell.mSeed / 2;
  for (const model::shard_id& shard : aRun->mRounds.front()) {
    policy::shard_plan entry{ shard, {} };
    std::vector<const world_entry*> order;
    for (const world_entry& each : mEntries) {
      if (!each.mNear || shard.Value() != "s2") {
        order.push_back(&each);
      }
    }
    std::rotate(order.begin(),
                order.begin() + static_cast<std::ptrdiff_t>(turn % 2),
                order.end());
    std::stable_partition(order.begin(), order.end(), [&](const auto* aEach) {
      return aEach->mNear == aRun->mRoot->mNear;
    });
    for (const world_entry* each : order) {
      entry.mCandidates.emplace_back(each->mName);
    }
    plan.mShards.push_back(entry);
  }
  aRun->mFanout =
    std::make_shared<policy::fanout>(plan, mRootHedge, mBudget, mCell.mSeed);
  if (aRun->mPassage != once::screening_permit::Unrestricted ||
      !aRun->mIdempotent) {
    aRun->mFanout->ForbidExtraAttempts();
  }
  CarryRoot(aRun, aRun->mFanout, aRun->mFanout->Start(mNow));
}

void
query_world::CarryRoot(const run_ptr& aRun,
                       const fanout_ptr& aFanout,
                       const policy::fanout_effects& aEffects)
{
  world_entry& root = *aRun->mRoot;
  std::map<policy::target_id, std::vector<policy::send_effect>> sends;
  for (const policy::fanout_effect& effect : aEffects) {
    if (const auto* send = std::get_if<policy::send_effect>(&effect)) {
      sends[send->mTarget].push_back(*send);
    } else if (std::holds_alternative<policy::finish_effect>(effect)) {
      In(root, 0ms, [=, this] { EndRound(aRun); });
    } else {
      const auto cancel = std::get<policy::cancel_effect>(effect);
      for (const relay_ptr& each : mRelays) {
        const auto& own = each->mSends;
        const bool only = own.size() == 1 && own[0].mAttempt == cancel.mAttempt;
        if (only && each->mFanout && !Cut(root, *each->mOwner)) {
          In(*each->mOwner, Hop(root, *each->mOwner), [=, this] {
            CarryOwner(each, each->mFanout->OnCancel(mNow));
          });
        }
      }
    }
  }
  for (const auto& [target, group] : sends) {
    const auto owner = std::find_if(
      mEntries.begin(), mEntries.end(), [&, name = target.Value()](auto& aOne) {
        return aOne.mName == name;
      });
    const std::string leaf = owner->mNear ? "n0a" : "f2a";
    const auto copy = group;
    Reach(step::Relay, aRun->mRequest, *owner, leaf);
    In(root, 0ms, [=, this] { SendRelay(aRun, aFanout, copy); });
  }
  if (const auto wake = aFanout->NextWake()) {
    In(root, *wake - mNow, [=, this] {
      CarryRoot(aRun, aFanout, aFanout->OnTimer(mNow));
    });
  }
}

void
query_world::SendRelay(const run_ptr& aRun,
                       const fanout_ptr& aFanout,
                       const std::vector<policy::send_effect>& aSends)
{
  const auto owner = std::find_if(
    mEntries.begin(), mEntries.end(), [&](const world_entry& aOne) {
      return aOne.mName == aSends[0].mTarget.Value();
    });
  const auto made = std::make_shared<relay>();
  made->mRun = aRun;
  made->mRoot = aFanout;
  made->mOwner = &*owner;
  made->mSends = aSends;
  made->mSnapshot = aRun->mSnapshot;
  mRelays.push_back(made);
  if (!owner->mUp || Cut(*aRun->mRoot, *owner)) {
    FailRelay(made, model::attempt_outcome::NotSent);
    return;
  }
  In(*owner, Hop(*aRun->mRoot, *owner), [=, this] {
    if (!Cut(*made->mRun->mRoot, *made->mOwner)) {
      RunOwner(made);
    }
  });
}

void
query_world::FailRelay(const relay_ptr& aRelay, model::attempt_outcome aOutcome)
{
  std::vector<model::attempt_result> results;
  for (const policy::send_effect& send : aRelay->mSends) {
    results.push_back({ send.mAttempt, send.mShard, {}, aOutcome, 0, "", "" });
  }
  OnRelayEnd(aRelay, results);
}

void
query_world::OnRelayEnd(const relay_ptr& aRelay,
                        const std::vector<model::attempt_result>& aResults)
{
  mRelays.remove(aRelay);
  const run_ptr run = aRelay->mRun;
  world_entry& root = *run->mRoot;
  if (aRelay->mOwner->mUp && Cut(root, *aRelay->mOwner)) {
    const bool sent = aResults[0].mOutcome != model::attempt_outcome::NotSent;
    if (sent) {
      return; // The reply does not get through.
    }
  }
  In(root, Hop(root, *aRelay->mOwner), [=, this, &root] {
    const auto passage = root.mQuarantine->Admit(
      once::HashContent(run->mQuery), run->Service().mId, Clock().mWall);
    if (passage != once::screening_permit::Unrestricted) {
      aRelay->mRoot->ForbidExtraAttempts();
    }
    for (const model::attempt_result& result : aResults) {
      if (result.mOutcome == model::attempt_outcome::NotHeld) {
        for (const model::shard& shard : run->Service().mShards) {
          for (const model::leaf_id& leaf : shard.mReplicas) {
            const auto& holds = mLeaves[leaf.Value()].mHolds;
            mView.OnHeldVersions(
              shard.mId, leaf, { holds.begin(), holds.end() }, mNow);
          }
        }
      }
      CarryRoot(run, aRelay->mRoot, aRelay->mRoot->OnResult(result, mNow));
    }
  });
}

void
query_world::EndRound(const run_ptr& aRun)
{
  world_entry& root = *aRun->mRoot;
  const bool only = aRun->mRounds.size() == 1 && aRun->mReport.mShards.empty();
  const auto next = only && !aRun->mReplanned && aRun->mFanout->CanReplan()
                      ? mView.NextAfterNotHeld(aRun->Service(), aRun->mSnapshot)
                      : std::nullopt;
  if (next) {
    aRun->mReplanned = true;
    aRun->mRanBefore = aRun->mFanout->MayHaveRun();
    aRun->mSnapshot = *next;
    NextRound(aRun);
    return;
  }
  for (const auto& shard : aRun->mFanout->Report().mShards) {
    aRun->mReport.mShards.push_back(shard);
  }
  aRun->mRounds.erase(aRun->mRounds.begin());
  if (!aRun->mRounds.empty()) {
    NextRound(aRun);
    return;
  }
  Reach(step::Merge, aRun->mRequest, root, "n0a");
  In(root, 0ms, [=, this, &root] {
    model::contract contract = aRun->Service().mContracts[0];
    contract.mIdempotent = aRun->mIdempotent;
    const auto answer = policy::BuildAnswer(aRun->mFanout->Plan(),
                                            aRun->mReport,
                                            aRun->Service(),
                                            contract,
                                            aRun->mManifest->Version(),
                                            aRun->mRanBefore);
    if (answer.mStatus == model::status::Complete) {
      const bool alone = aRun->mPassage == once::screening_permit::Isolated;
      Spread(root,
             root.mQuarantine->OnAnswered(
               once::HashContent(aRun->mQuery), alone, Clock().mWall));
    }
    Reach(step::Answer, aRun->mRequest, root, "n0a");
    In(root, 0ms, [=] { aRun->mDone(answer); });
  });
}

} // namespace monsooncroft::test
