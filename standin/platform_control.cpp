/**
 * @file platform_control.cpp
 * The calls by which tests steer the platform stand-in.
 */
#include "standin/event_loop.h"
#include "standin/json_reply.h"
#include "standin/platform_service.h"

namespace monsooncroft::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

outage
ParseOutage(const json& aValue)
{
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? outage::Unavailable : outage::None;
  }
  const auto& text = aValue.get_ref<const std::string&>();
  if (text == "close") {
    return outage::Close;
  }
  return text == "hang" ? outage::Hang : outage::Unavailable;
}

} // namespace

void
platform_service::HandleControl(const net::http_request& aRequest,
                                const reply_callback& aReply)
{
  if (aRequest.mTarget == "/control/stats") {
    aReply(JsonReply(net::kHttpOk, Stats()));
  } else if (aRequest.mTarget == "/control/instances") {
    SetInstances(json::parse(aRequest.mBody));
    aReply(JsonReply(net::kHttpOk, json::object()));
  } else if (aRequest.mTarget == "/control/fault") {
    SetFault(json::parse(aRequest.mBody));
    aReply(JsonReply(net::kHttpOk, json::object()));
  } else {
    aReply(ReasonReply(net::kHttpNotFound, "no such call"));
  }
}

void
platform_service::SetInstances(const json& aBody)
{
  json list = aBody.at("instances");
  const milliseconds lag(aBody.value("lag_ms", 0));
  if (lag == milliseconds::zero()) {
    mInstances = std::move(list);
    return;
  }
  mQueue.After(lag, [this, list = std::move(list)] { mInstances = list; });
}

void
platform_service::SetFault(const json& aBody)
{
  if (aBody.contains("down")) {
    mFault.mDown = ParseOutage(aBody["down"]);
    FailWatchers();
  }
  if (aBody.contains("slow_ms")) {
    mFault.mSlow = milliseconds(aBody["slow_ms"].get<std::int64_t>());
  }
  if (aBody.contains("lose_by")) {
    mFault.mLost = ParseOutage(aBody["lose_by"]);
  }
  mFault.mLoseAnswers =
    aBody.value("lose_answer_after_write", mFault.mLoseAnswers);
  mFault.mStaleReads = aBody.value("stale_reads", mFault.mStaleReads);
  mFault.mWatchBroken = aBody.value("watch_broken", mFault.mWatchBroken);
  mFault.mWritesPerSecond =
    aBody.value("writes_per_s", mFault.mWritesPerSecond);
  mFault.mReadsPerSecond = aBody.value("reads_per_s", mFault.mReadsPerSecond);
}

void
platform_service::FailWatchers()
{
  // A hanging service leaves its watches open; they time out at the client.
  const bool ends =
    mFault.mDown == outage::Unavailable || mFault.mDown == outage::Close;
  if (!ends) {
    return;
  }
  for (const auto& [key, waiting] : mWatchers) {
    for (const watcher& one : waiting) {
      const bool closes = mFault.mDown == outage::Close;
      one.mReply(closes ? http_reply{ {}, delivery::Close }
                        : ReasonReply(net::kHttpUnavailable, "unavailable"));
    }
  }
  mWatchers.clear();
}

json
platform_service::Stats() const
{
  std::size_t waiting = 0;
  for (const auto& [key, list] : mWatchers) {
    waiting += list.size();
  }
  const model::instant now = Now();
  const auto rates = [&](const call_rates& aRates) {
    return json{ { "last_second", aRates.Last(now) },
                 { "most", aRates.Most() },
                 { "refused", aRates.Refused() } };
  };
  return { { "calls", mCounts },
           { "waiting_watches", waiting },
           { "reads_per_s", rates(mReads) },
           { "writes_per_s", rates(mWrites) } };
}

} // namespace monsooncroft::standin
