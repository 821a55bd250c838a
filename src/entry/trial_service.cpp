/**
 * @file trial_service.cpp
 * The way of a query past the quarantine.
 */
#include "entry/trial_service_base.h"

#include "config/answer_json_func.h"
#include "config/query_json_func.h"
#include "entry/clock_func.h"
#include "entry/home_member_func.h"
#include "entry/in_flight_base.h"
#include "entry/manifest_table_base.h"
#include "entry/quarantine_desk_base.h"
#include "entry/relay_codec_func.h"
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "policy/answer_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace monsooncroft::entry {

namespace {

using nlohmann::json;

/** Longest query that another instance may hand on. */
constexpr std::size_t kMaxForwardedBytes = 2UL * 1024 * 1024;
/** Instances that disagree about a home hand a query on this often at most. */
constexpr int kMostHops = 3;
/** The home's answer is awaited this much longer than its own deadline. */
constexpr model::duration kForwardMargin{ 50000 };
/** A turn whose run ended without the leaf's word is kept for this long, so
 * that a death seen late is known to the next one. */
constexpr model::duration kLateDeath{ 300000 };
constexpr const char* kShardLost = "shard_lost";

json
ReadObject(const std::string& aText)
{
  json value = json::parse(aText, nullptr, false);
  const bool valid = value.is_object() && value.contains("query") &&
                     value["query"].is_string() && value.contains("hops") &&
                     value["hops"].is_number_integer();
  return valid ? value : json();
}

} // namespace

trial_service::trial_service(trial_parts aParts)
  : mParts(std::move(aParts))
{
}

trial_service::journey
trial_service::Start(const model::query& aQuery, const run_terms& aTerms) const
{
  journey out;
  out.mQuery = aQuery;
  out.mTerms = aTerms;
  out.mContent = once::HashContent(aQuery);
  out.mDeadline = aTerms.mArrived;
  if (const auto contract = mParts.mRoot.ContractOf(aQuery)) {
    out.mDeadline += std::min(aQuery.mDeadline.value_or(contract->mDeadline),
                              contract->mDeadline);
  }
  return out;
}

model::answer
trial_service::Run(const model::query& aQuery, const run_terms& aTerms)
{
  return Go(Start(aQuery, aTerms));
}

model::answer
trial_service::Go(const journey& aJourney)
{
  const model::service_id& service = aJourney.mQuery.mService;
  const once::screening_permit permit = Judge(aJourney);
  if (permit == once::screening_permit::Unrestricted) {
    return RunFree(aJourney);
  }
  if (permit == once::screening_permit::Refused) {
    return NotRun(aJourney, once::kReasonQuarantined);
  }
  const std::string key =
    once::ScreeningKey(permit, aJourney.mContent, service);
  const cluster::member home = HomeMember(
    key, mParts.mManifests.View(), mParts.mSelf, aJourney.mUnreached);
  if (home.mId == mParts.mSelf) {
    return RunTrial(aJourney, permit, key);
  }
  if (aJourney.mHops >= kMostHops) {
    // Run away from its home it could meet another copy.
    return NotRun(aJourney, "no_home");
  }
  return Forward(aJourney, permit, home);
}

/** An instance that handed it on may have known of a death before this one. */
once::screening_permit
trial_service::Judge(const journey& aJourney) const
{
  return std::max(
    aJourney.mAtLeast,
    mParts.mDesk.Admit(aJourney.mContent, aJourney.mQuery.mService));
}

model::answer
trial_service::RunFree(const journey& aJourney)
{
  model::answer answer = mParts.mRoot.Run(aJourney.mQuery, aJourney.mTerms);
  if (answer.mStatus == model::status::Complete) {
    mParts.mDesk.OnAnswered(aJourney.mContent, false);
  }
  // It became suspected while it ran, perhaps as the neighbour of another:
  // what was held back may go alone, if none of it can run twice.
  const bool heldBack = answer.mReason == kReasonSuspected;
  const bool mayRunAgain =
    !aJourney.mTerms.mSendBefore || answer.mStatus == model::status::NotRun;
  if (heldBack && mayRunAgain && Now() < aJourney.mDeadline) {
    model::answer again = Go(aJourney);
    // What ran the first time stays true.
    return again.mStatus == model::status::NotRun ? answer : again;
  }
  return answer;
}

model::answer
trial_service::RunTrial(const journey& aJourney,
                        once::screening_permit aPassage,
                        const std::string& aKey)
{
  const bool turn = Now() < aJourney.mDeadline &&
                    mParts.mDesk.AwaitTurn(aKey, aJourney.mDeadline);
  if (!turn) {
    return NotRun(aJourney, "trials_full");
  }
  const once::screening_permit now = Judge(aJourney);
  if (now != aPassage) {
    mParts.mDesk.LeaveTurn(aKey);
    return Go(aJourney);
  }
  run_terms terms = aJourney.mTerms;
  terms.mNoExtra = true;
  terms.mAlone = now == once::screening_permit::Isolated;
  terms.mFirstAlone = !terms.mAlone;
  model::answer answer = mParts.mRoot.Run(aJourney.mQuery, terms);
  if (answer.mStatus == model::status::Complete) {
    mParts.mDesk.OnAnswered(aJourney.mContent, terms.mAlone);
  }
  Leave(aKey, answer);
  return answer;
}

void
trial_service::Leave(const std::string& aKey, const model::answer& aAnswer)
{
  if (aAnswer.mReason != kShardLost) {
    mParts.mDesk.LeaveTurn(aKey);
    return;
  }
  mParts.mTimers.RunAfter(
    kLateDeath, [&desk = mParts.mDesk, aKey] { desk.LeaveTurn(aKey); });
}

model::answer
trial_service::Forward(const journey& aJourney,
                       once::screening_permit aPassage,
                       const cluster::member& aHome)
{
  const model::duration left =
    std::max(aJourney.mDeadline - Now(), model::duration(0));
  model::query query = aJourney.mQuery;
  query.mDeadline =
    std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
             std::chrono::milliseconds(1));
  json message = { { "query", config::EmitQuery(query) },
                   { "no_extra", aJourney.mTerms.mNoExtra },
                   { "passage", static_cast<int>(aPassage) },
                   { "hops", aJourney.mHops + 1 } };
  if (aJourney.mTerms.mSendBefore) {
    message["send_before_ms"] =
      aJourney.mTerms.mSendBefore->time_since_epoch().count();
  }
  const net::exchange_result result =
    mParts.mPool.Call(aHome.mPeer,
                      { "POST", kTrialTarget, message.dump() },
                      left + kForwardMargin);
  if (result.mState == net::send_state::NotSent) {
    // Everybody finds it unreachable, and the same next one in its place.
    journey next = aJourney;
    next.mUnreached.push_back(aHome.mId);
    return Go(next);
  }
  const auto answer = result.mState == net::send_state::Replied &&
                          result.mResponse.mStatus == net::kHttpOk
                        ? config::ParseAnswer(result.mResponse.mBody)
                        : std::nullopt;
  if (!answer || answer->mRequest != aJourney.mQuery.mRequest) {
    model::answer lost = NotRun(aJourney, "home_lost");
    lost.mStatus = aJourney.mTerms.mSendBefore ? model::status::Unknown
                                               : model::status::Failed;
    return lost;
  }
  if (answer->mStatus == model::status::Complete) {
    mParts.mDesk.OnAnswered(aJourney.mContent, false);
  }
  return *answer;
}

std::string
trial_service::RunForwarded(const std::string& aBody)
{
  const model::instant arrived = Now();
  const in_flight counted(mForwarded);
  const json message = ReadObject(aBody);
  if (message.is_null()) {
    return "";
  }
  const auto query =
    config::ParseQuery(message["query"].get<std::string>(), kMaxForwardedBytes);
  if (!query) {
    return "";
  }
  run_terms terms;
  terms.mArrived = arrived;
  terms.mNoExtra = message.value("no_extra", false);
  if (message.contains("send_before_ms")) {
    terms.mSendBefore = model::wall_instant(
      std::chrono::milliseconds(message["send_before_ms"].get<long>()));
  }
  journey going = Start(query.value(), terms);
  going.mHops = message["hops"];
  const bool isolated = message.value("passage", 0) ==
                        static_cast<int>(once::screening_permit::Isolated);
  going.mAtLeast = isolated ? once::screening_permit::Isolated
                            : once::screening_permit::Unrestricted;
  const bool busy = mForwarded > mParts.mMostForwarded;
  return config::EmitAnswer(busy ? NotRun(going, "trials_full") : Go(going));
}

model::answer
trial_service::NotRun(const journey& aJourney, const char* aReason) const
{
  const model::manifest_ptr manifest = mParts.mManifests.Current();
  model::answer answer = policy::NotRunAnswer(
    aJourney.mQuery.mRequest,
    manifest ? manifest->FindService(aJourney.mQuery.mService) : nullptr,
    aReason);
  answer.mManifest = manifest ? manifest->Version() : 0;
  return answer;
}

} // namespace monsooncroft::entry
