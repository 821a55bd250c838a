/**
 * @file owner_service.cpp
 * Running a group of shards over leaves.
 */
#include "entry/owner_service_base.h"

#include "entry/attempt_count_base.h"
#include "entry/clock_func.h"
#include "entry/fanout_driver_base.h"
#include "entry/leaf_sender_base.h"
#include "entry/manifest_table_base.h"

#include <algorithm>
#include <future>
#include <utility>

namespace monsooncroft::entry {

namespace {

leaf_job
PatternOf(const relay_request& aRequest,
          const model::contract& aContract,
          const model::workspace* aTenant,
          model::instant aDeadline)
{
  leaf_job job;
  job.mRequest.mRequest = aRequest.mRequest;
  job.mRequest.mService = aRequest.mService;
  job.mRequest.mKind = aRequest.mKind;
  job.mRequest.mSnapshot = aRequest.mSnapshot;
  job.mRequest.mIdempotent = aContract.mIdempotent;
  job.mRequest.mBody = aRequest.mBody;
  job.mItem.mUrgency = aContract.mUrgency;
  job.mItem.mWorkspace = aRequest.mTenant;
  job.mItem.mWeight = aTenant == nullptr ? 1 : aTenant->mWeight;
  job.mItem.mDeadline = aDeadline;
  job.mSendBefore = aRequest.mSendBefore;
  job.mAlone = aRequest.mAlone;
  return job;
}

} // namespace

owner_service::owner_service(net::http_connector& aTimers,
                             manifest_table& aManifests,
                             leaf_table& aLeaves,
                             ops::metrics& aMetrics,
                             const model::instance_id& aSelf)
  : mTimers(aTimers)
  , mManifests(aManifests)
  , mLeaves(aLeaves)
  , mMetrics(aMetrics)
  , mPrefix(aSelf.Value() + "." +
            std::to_string(WallNow().time_since_epoch().count()) + ".o")
{
}

void
owner_service::Run(const relay_request& aRequest, callback aDone)
{
  const model::manifest_ptr manifest = mManifests.Find(aRequest.mManifest);
  const model::service* service =
    manifest ? manifest->FindService(aRequest.mService) : nullptr;
  const model::contract* contract =
    service == nullptr ? nullptr : service->FindContract(aRequest.mKind);
  if (contract == nullptr) {
    aDone(Refused(aRequest, "manifest_unknown"));
    return;
  }
  policy::fanout_plan plan = PlanOf(aRequest, *service, *contract);
  const leaf_job pattern = PatternOf(aRequest,
                                     *contract,
                                     manifest->FindWorkspace(aRequest.mTenant),
                                     plan.mDeadline);
  const auto budget = mLeaves.Budget(aRequest.mService, aRequest.mKind);
  const auto seed = static_cast<std::uint32_t>(mNumber.load());
  auto decisions =
    std::make_unique<policy::fanout>(std::move(plan), *budget, *budget, seed);
  if (aRequest.mNoExtra) {
    decisions->ForbidExtraAttempts();
  }
  const auto driver = std::make_shared<fanout_driver>(
    mTimers,
    std::make_shared<leaf_sender>(
      mLeaves, pattern, std::make_shared<attempt_count>(mMetrics)),
    std::move(decisions));
  Remember(aRequest, driver);
  // The budget and the driver live until the run is over.
  driver->Start([this, aRequest, budget, driver, done = std::move(aDone)](
                  const fanout_driver& aDriver) {
    Forget(aRequest);
    done(ReplyOf(aRequest, aDriver));
  });
}

relay_reply
owner_service::RunAndWait(const relay_request& aRequest)
{
  auto promise = std::make_shared<std::promise<relay_reply>>();
  std::future<relay_reply> future = promise->get_future();
  Run(aRequest,
      [promise](const relay_reply& aReply) { promise->set_value(aReply); });
  return future.get();
}

std::vector<held_row>
owner_service::Held(const model::service_id& aService) const
{
  return mLeaves.Held(aService);
}

void
owner_service::Cancel(const std::vector<model::attempt_id>& aAttempts)
{
  std::vector<driver_ptr> unwanted;
  {
    const std::lock_guard lock(mMutex);
    for (const model::attempt_id& attempt : aAttempts) {
      const auto found = mRunning.find(attempt);
      if (found == mRunning.end()) {
        continue;
      }
      running& run = *found->second;
      run.mWanted.erase(attempt);
      if (run.mWanted.empty()) {
        unwanted.push_back(run.mDriver);
      }
    }
  }
  for (const driver_ptr& driver : unwanted) {
    driver->Cancel();
  }
}

policy::fanout_plan
owner_service::PlanOf(const relay_request& aRequest,
                      const model::service& aService,
                      const model::contract& aContract)
{
  policy::fanout_plan plan;
  plan.mRequest = aRequest.mRequest;
  plan.mIdempotent = aContract.mIdempotent;
  plan.mUrgency = aContract.mUrgency;
  // A message that asks for more would hold its worker for as long.
  const model::duration longest = aContract.mDeadline;
  plan.mDeadline =
    Now() + std::clamp(aRequest.mRemaining, model::duration(0), longest);
  plan.mSnapshot = aRequest.mSnapshot;
  plan.mAttemptPrefix = mPrefix + std::to_string(mNumber.fetch_add(1)) + ".";
  for (const relay_shard& asked : aRequest.mShards) {
    policy::shard_plan shard;
    shard.mShard = asked.mShard;
    const model::shard* declared = aService.FindShard(asked.mShard);
    std::vector<model::leaf_id> here;
    for (const model::leaf_id& replica : declared == nullptr
                                           ? std::vector<model::leaf_id>()
                                           : declared->mReplicas) {
      const model::leaf* leaf = aService.FindLeaf(replica);
      const bool wanted = aRequest.mDataCentre.Empty() ||
                          leaf->mDataCentre == aRequest.mDataCentre;
      if (wanted) {
        here.push_back(replica);
      }
    }
    shard.mCandidates = mLeaves.Order(here, aRequest.mDataCentre);
    plan.mShards.push_back(std::move(shard));
  }
  return plan;
}

relay_reply
owner_service::Refused(const relay_request& aRequest, const char* aReason)
{
  relay_reply reply;
  for (const relay_shard& shard : aRequest.mShards) {
    model::attempt_result result;
    result.mAttempt = shard.mAttempt;
    result.mShard = shard.mShard;
    result.mOutcome = model::attempt_outcome::NotSent;
    result.mReason = aReason;
    reply.mResults.push_back(std::move(result));
  }
  return reply;
}

relay_reply
owner_service::ReplyOf(const relay_request& aRequest,
                       const fanout_driver& aDriver) const
{
  relay_reply reply;
  reply.mSent = aDriver.Sent();
  const policy::fanout_report report = aDriver.Fanout().Report();
  for (std::size_t i = 0; i < report.mShards.size(); ++i) {
    const policy::shard_report& shard = report.mShards[i];
    model::attempt_result result = shard.mLastResult;
    result.mAttempt = aRequest.mShards[i].mAttempt;
    result.mShard = shard.mShard;
    result.mOutcome = policy::SummaryOutcome(shard);
    if (result.mOutcome == model::attempt_outcome::NotHeld) {
      reply.mHeld = mLeaves.Held(aRequest.mService);
    }
    reply.mResults.push_back(std::move(result));
  }
  return reply;
}

void
owner_service::Remember(const relay_request& aRequest,
                        const driver_ptr& aDriver)
{
  const auto run = std::make_shared<running>();
  run->mDriver = aDriver;
  const std::lock_guard lock(mMutex);
  for (const relay_shard& shard : aRequest.mShards) {
    run->mWanted.insert(shard.mAttempt);
    mRunning[shard.mAttempt] = run;
  }
}

void
owner_service::Forget(const relay_request& aRequest)
{
  const std::lock_guard lock(mMutex);
  for (const relay_shard& shard : aRequest.mShards) {
    mRunning.erase(shard.mAttempt);
  }
}

} // namespace monsooncroft::entry
