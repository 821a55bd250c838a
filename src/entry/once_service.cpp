/**
 * @file once_service.cpp
 * A request that runs at most once, from any instance to its home and through
 * the record.
 */
#include "entry/once_service_base.h"

#include "config/answer_json_func.h"
#include "config/query_json_func.h"
#include "entry/clock_func.h"
#include "entry/home_member_func.h"
#include "entry/manifest_table_base.h"
#include "entry/relay_codec_func.h"
#include "entry/trial_service_base.h"
#include "net/http_pool_base.h"
#include "policy/answer_func.h"

#include <algorithm>
#include <future>
#include <utility>

namespace monsooncroft::entry {

namespace {

/** Buckets of the record; the same at all instances. */
constexpr once::bucket_index kBuckets = 16;
/** The home's answer is awaited this much longer than its own deadline. */
constexpr model::duration kForwardMargin{ 50000 };

once::answer_cache_settings
MemorySettings(const once::record_settings& aRecord)
{
  once::answer_cache_settings settings;
  settings.mMaxAge = aRecord.mWindow;
  return settings;
}

model::duration
Allowed(const model::query& aQuery, const model::contract& aContract)
{
  return std::min(aQuery.mDeadline.value_or(aContract.mDeadline),
                  aContract.mDeadline);
}

} // namespace

once_service::once_service(const once_parts& aParts,
                           const once::record_settings& aSettings)
  : mParts(aParts)
  , mSettings(aSettings)
  , mMemory(MemorySettings(aSettings))
{
  for (once::bucket_index bucket = 0; bucket < kBuckets; ++bucket) {
    mBuckets.push_back(std::make_shared<record_driver>(
      aParts.mRecord, once::BucketKey(bucket), aSettings, aParts.mSelf));
  }
}

cluster::member
once_service::HomeOf(const model::query& aQuery) const
{
  const std::string key =
    once::BucketKey(once::BucketOf(once::HashRequest(aQuery), kBuckets));
  return HomeMember(key, mParts.mManifests.View(), mParts.mSelf.mInstance);
}

model::answer
once_service::Answer(const model::query& aQuery,
                     const model::contract& aContract,
                     model::instant aArrived)
{
  const cluster::member home = HomeOf(aQuery);
  if (home.mId == mParts.mSelf.mInstance) {
    return RunHere(aQuery, aContract, aArrived);
  }
  return Forward(aQuery, aContract, home, aArrived);
}

model::answer
once_service::Forward(const model::query& aQuery,
                      const model::contract& aContract,
                      const cluster::member& aHome,
                      model::instant aArrived)
{
  const model::duration left = aArrived + Allowed(aQuery, aContract) - Now();
  model::query forwarded = aQuery;
  forwarded.mDeadline =
    std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
             std::chrono::milliseconds(1));
  const net::exchange_result result =
    mParts.mPool.Call(aHome.mPeer,
                      { "POST", kRunTarget, config::EmitQuery(forwarded) },
                      std::max(left, model::duration(0)) + kForwardMargin);
  if (result.mState == net::send_state::NotSent) {
    // The record decides, so any instance may stand in for the home.
    return RunHere(aQuery, aContract, aArrived);
  }
  if (result.mState != net::send_state::Replied ||
      result.mResponse.mStatus != net::kHttpOk) {
    return Unknown(aQuery, "home_lost");
  }
  const std::optional<model::answer> answer =
    config::ParseAnswer(result.mResponse.mBody);
  const bool own = answer && answer->mRequest == aQuery.mRequest;
  return own ? *answer : Unknown(aQuery, "home_lost");
}

model::answer
once_service::RunHere(const model::query& aQuery,
                      const model::contract& aContract,
                      model::instant aArrived)
{
  const once::request_hash request = once::HashRequest(aQuery);
  once::arrival_result arrival;
  running run;
  {
    const std::lock_guard lock(mMutex);
    arrival = mMemory.Register(request, once::HashContent(aQuery), Now());
    if (arrival.mKind == once::arrival_kind::FirstSend) {
      mRunning[request] = std::make_shared<std::optional<model::answer>>();
    }
    const auto known = mRunning.find(request);
    run = known == mRunning.end() ? nullptr : known->second;
  }
  switch (arrival.mKind) {
    case once::arrival_kind::FirstSend:
      break;
    case once::arrival_kind::Running:
      return AwaitRunning(aQuery, run, aArrived + Allowed(aQuery, aContract));
    case once::arrival_kind::Stored:
      return arrival.mAnswer.value();
    case once::arrival_kind::IdReused:
      return Unknown(aQuery, "id_reused");
    case once::arrival_kind::Full:
      return Unknown(aQuery, "busy");
  }
  model::answer answer = RunFirst(aQuery, aContract, aArrived);
  {
    const std::lock_guard lock(mMutex);
    mMemory.Finish(request, answer, Now());
    *run = answer;
    mRunning.erase(request);
  }
  mFinished.notify_all();
  return answer;
}

/** A run that ended as not run is forgotten by the memory, so its answer is
 * taken from the run itself. */
model::answer
once_service::AwaitRunning(const model::query& aQuery,
                           const running& aRun,
                           model::instant aDeadline)
{
  std::unique_lock lock(mMutex);
  mFinished.wait_until(lock, aDeadline, [&] { return aRun->has_value(); });
  return aRun->has_value() ? **aRun : Unknown(aQuery, "still_running");
}

model::answer
once_service::RunFirst(const model::query& aQuery,
                       const model::contract& aContract,
                       model::instant aArrived)
{
  const model::instant deadline = aArrived + Allowed(aQuery, aContract);
  const once::verdict verdict = Record(aQuery, deadline);
  if (verdict.mKind != once::verdict_kind::Dispatch) {
    return AnswerOf(aQuery, verdict);
  }
  model::answer answer = Dispatch(aQuery, verdict.mPermit, aArrived);
  if (answer.mStatus == model::status::NotRun) {
    Bucket(once::HashRequest(aQuery))->Release(once::HashRequest(aQuery));
  }
  return answer;
}

model::answer
once_service::Dispatch(const model::query& aQuery,
                       const once::send_permit& aPermit,
                       model::instant aArrived)
{
  if (!once::MaySend(aPermit, { Now(), WallNow() })) {
    return policy::NotRunAnswer(aQuery.mRequest, nullptr, "paused");
  }
  run_terms terms;
  terms.mArrived = aArrived;
  terms.mSendBefore = aPermit.mExpiresAtWall;
  terms.mNoExtra = true;
  return mParts.mTrials.Run(aQuery, terms);
}

once::verdict
once_service::Record(const model::query& aQuery, model::instant aGiveUpAt)
{
  once::offer offer;
  offer.mRequest = once::HashRequest(aQuery);
  offer.mIssuedAt = aQuery.mIssuedAt.value();
  offer.mDeadline = aGiveUpAt;
  auto promise = std::make_shared<std::promise<once::verdict>>();
  std::future<once::verdict> future = promise->get_future();
  Bucket(offer.mRequest)
    ->Offer(offer, [promise](const once::verdict& aVerdict) {
      promise->set_value(aVerdict);
    });
  return future.get();
}

std::shared_ptr<record_driver>
once_service::Bucket(const once::request_hash& aRequest)
{
  return mBuckets.at(once::BucketOf(aRequest, kBuckets));
}

model::answer
once_service::AnswerOf(const model::query& aQuery,
                       const once::verdict& aVerdict) const
{
  switch (aVerdict.mKind) {
    case once::verdict_kind::NotRun: {
      const model::manifest_ptr manifest = mParts.mManifests.Current();
      model::answer answer = policy::NotRunAnswer(
        aQuery.mRequest,
        manifest ? manifest->FindService(aQuery.mService) : nullptr,
        aVerdict.mReason);
      answer.mManifest = manifest ? manifest->Version() : 0;
      return answer;
    }
    case once::verdict_kind::OwnedElsewhere:
      return Unknown(aQuery, "recorded_elsewhere");
    case once::verdict_kind::Dispatch:
    case once::verdict_kind::OwnedHere:
      return Unknown(aQuery, "already_run");
    case once::verdict_kind::Unproven:
      return Unknown(aQuery, aVerdict.mReason);
  }
  return Unknown(aQuery, "unproven");
}

model::answer
once_service::Unknown(const model::query& aQuery, const char* aReason) const
{
  const model::manifest_ptr manifest = mParts.mManifests.Current();
  model::answer answer = policy::NotRunAnswer(
    aQuery.mRequest,
    manifest ? manifest->FindService(aQuery.mService) : nullptr,
    aReason);
  answer.mStatus = model::status::Unknown;
  answer.mManifest = manifest ? manifest->Version() : 0;
  return answer;
}

} // namespace monsooncroft::entry
