/**
 * @file query_world.h
 * One query through the real decisions, from caller to leaves, in virtual time.
 */
#ifndef MONSOONCROFT_TEST_MATRIX_QUERY_WORLD_H
#define MONSOONCROFT_TEST_MATRIX_QUERY_WORLD_H

#include "matrix/cell_type.h"
#include "matrix/evidence_type.h"
#include "once/answer_cache_base.h"
#include "once/crash_detector_base.h"
#include "once/quarantine_base.h"
#include "once/record_keeper_base.h"
#include "once/screening_queue_base.h"
#include "policy/admission_queue_base.h"
#include "policy/drain_table_base.h"
#include "policy/fanout_base.h"
#include "policy/hedge_delay_base.h"
#include "policy/snapshot_view_base.h"
#include "policy/token_bucket_budget_base.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsooncroft::test {

/** One run: which fault, when, and of what kind the studied query is. */
struct query_cell
{
  std::optional<fault> mFault; ///< Nothing: all goes well.
  step mStep = step::Accept;
  bool mIdempotent = true;
  unsigned mSeed = 1;
  std::optional<fault> mSecond; ///< Another fault in the same run.
  step mSecondStep = step::Accept;
};

/** A backend server. */
struct fake_leaf
{
  bool mUp = true;
  int mBoot = 1;
  bool mLeaving = false;
  model::duration mService{ 2'000 };
  std::set<model::index_version> mHolds{ 7, 8 };
  std::vector<std::function<void()>> mOnCrash; ///< Ends of connections.
};

/** An attempt on its way through an owner. */
struct leaf_job
{
  std::size_t mSend = 0;
  policy::admission_item mItem;
  model::shard_id mShard;
  model::index_version mSnapshot = 0;
  std::optional<model::wall_instant> mSendBefore;
  std::function<void(const model::attempt_result&)> mDone;
  std::function<void()> mForbidExtra;
  bool mSent = false;
  model::instant mSentAt;
};

/** An owner's way to one leaf. */
struct leaf_way
{
  explicit leaf_way(const std::string& aLeaf)
    : mDeaths(model::leaf_id(aLeaf))
  {
    mDeaths.OnBootId("1");
  }

  policy::admission_queue mQueue{ 2 };
  once::crash_detector mDeaths;
  std::map<model::attempt_id, leaf_job> mJobs;
  bool mSilent = false; ///< The open connections; cured by a time-out.
};

/** An entry instance. */
struct world_entry
{
  std::string mName;
  bool mNear = true; ///< Data centre.
  bool mUp = true;
  std::uint64_t mLife = 1;
  model::instant mPausedUntil;
  std::unique_ptr<once::record_keeper> mKeeper;
  std::unique_ptr<once::answer_cache> mMemory;
  std::unique_ptr<once::quarantine> mQuarantine;
  std::map<std::string, leaf_way> mWays;
  std::vector<std::function<void(const once::verdict&)>> mVerdicts;
  std::vector<std::function<void(const model::answer&)>> mJoined;
};

/** The whole: callers, instances, leaves and the platform. */
class query_world
{
public:
  explicit query_world(const query_cell& aCell);

  void Run();
  bool Reached() const { return mReached; } ///< The step was.
  const evidence& Evidence() const { return mEvidence; }
  /** The studied query's caller got the whole answer. */
  bool Complete() const { return mComplete; }

private:
  using task = std::function<void()>;
  using reply = std::function<void(const model::answer&)>;
  struct query_run;
  struct relay;
  using run_ptr = std::shared_ptr<query_run>;
  using relay_ptr = std::shared_ptr<relay>;
  using fanout_ptr = std::shared_ptr<policy::fanout>;

  // Time.
  void After(model::duration aDelay, task aTask);
  void In(world_entry& aWho, model::duration aDelay, const task& aTask);
  void Deliver(world_entry& aWho, std::uint64_t aLife, const task& aTask);
  once::clock_reading Clock() const;

  // Faults.
  void Reach(step aStep,
             const model::request_id& aRequest,
             world_entry& aWho,
             const std::string& aLeaf);
  void Inject(fault aFault,
              step aStep,
              world_entry& aWho,
              const std::string& aLeaf);
  void Reshard();
  void Kill(world_entry& aWho);
  void Start(world_entry& aWho);
  void Crash(const std::string& aLeaf, bool aComesBack);
  bool Cut(const world_entry& aFrom, const world_entry& aTo) const;

  // The callers.
  void Call(const std::string& aRequest, bool aIdempotent, std::size_t aTurn);
  void OnAnswer(std::size_t aSend,
                std::size_t aTurn,
                const model::answer& aAnswer);
  void CallAgain(std::size_t aSend, std::size_t aTurn);

  // The root.
  void RunOnce(const run_ptr& aRun, const reply& aDone);
  void OnVerdict(const run_ptr& aRun, const once::verdict& aVerdict);
  void CarryRecord(world_entry& aWho, const once::record_effects& aEffects);
  void Write(world_entry& aWho, const once::cas_request& aCall);
  void Read(world_entry& aWho);
  void Begin(const run_ptr& aRun);
  bool AwaitTurn(const run_ptr& aRun);
  void NextRound(const run_ptr& aRun);
  void EndRound(const run_ptr& aRun);
  void CarryRoot(const run_ptr& aRun,
                 const fanout_ptr& aFanout,
                 const policy::fanout_effects& aEffects);
  void SendRelay(const run_ptr& aRun,
                 const fanout_ptr& aFanout,
                 const std::vector<policy::send_effect>& aSends);
  void OnRelayEnd(const relay_ptr& aRelay,
                  const std::vector<model::attempt_result>& aResults);
  void FailRelay(const relay_ptr& aRelay, model::attempt_outcome aOutcome);
  model::answer Unproven(const run_ptr& aRun, const std::string& aReason);

  // The owner.
  void RunOwner(const relay_ptr& aRelay);
  void CarryOwner(const relay_ptr& aRelay,
                  const policy::fanout_effects& aEffects);
  void Submit(const relay_ptr& aRelay, const policy::send_effect& aSend);
  void CancelAt(world_entry& aWho, const policy::cancel_effect& aCancel);
  void CarryWay(world_entry& aWho,
                const std::string& aLeaf,
                const policy::admission_effects& aEffects);
  void SendToLeaf(world_entry& aWho,
                  const std::string& aLeaf,
                  const model::attempt_id& aAttempt);
  void Execute(world_entry& aWho,
               const std::string& aLeaf,
               const model::attempt_id& aAttempt,
               const leaf_job& aJob);
  void End(world_entry& aWho,
           const std::string& aLeaf,
           const model::attempt_id& aAttempt,
           model::attempt_result aResult);
  void Suspect(world_entry& aWho,
               const std::string& aLeaf,
               const leaf_job& aJob,
               const task& aThen);
  void Settle(world_entry& aWho, const once::settled_suspicions& aSettled);
  void Spread(const world_entry& aFrom,
              const std::vector<once::crash_mark>& aMarks);

  query_cell mCell;
  std::mt19937 mRandom;
  model::instant mNow{ std::chrono::seconds(1000) };
  std::uint64_t mOrder = 0;
  std::map<std::pair<model::instant, std::uint64_t>, task> mEvents;
  std::list<world_entry> mEntries;
  std::map<std::string, fake_leaf> mLeaves;
  policy::snapshot_view mView;
  policy::drain_table mDrains;
  std::list<relay_ptr> mRelays; ///< Without an end yet.
  std::map<std::size_t, std::pair<world_entry*, task>>
    mOpenCalls; ///< Of a send: its instance and what a lost connection does.
  policy::fixed_hedge mRootHedge;
  policy::fixed_hedge mOwnerHedge;
  policy::token_bucket_budget mBudget;
  once::screening_queue mTrials{ 64 }; ///< Of the suspects' home.
  std::map<std::size_t, task> mWaitingTrials;
  std::map<std::size_t, task> mExpiredTrials;

  struct
  {
    bool mDown = false;
    bool mLoseNext = false;
    model::duration mDelay{ 2'000 };
    once::revision mRevision = 0;
    std::string mValue;
  } mStore;
  std::size_t mCurrent = 0; ///< Index of the manifest in force.
  model::request_id mKilling;
  bool mCut = false;
  bool mCallerSilent = false;
  bool mReached = false;
  bool mSecondReached = false;
  int mPlans = 0;
  bool mComplete = false;
  evidence mEvidence;
};

} // namespace monsooncroft::test

#endif
