/**
 * @file instance_commands.cpp
 * status, watch, query and explain.
 */
#include "config/query_json_func.h"
#include "ctl/command_context_base.h"
#include "ctl/command_func.h"
#include "ctl/instance_client_base.h"
#include "ctl/request_story_func.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <ostream>
#include <sstream>

namespace monsooncroft::ctl {

namespace {

using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr model::duration kWatchPeriod = std::chrono::seconds(1);

model::manifest_version
Newest(const std::vector<instance_status>& aInstances)
{
  model::manifest_version out = 0;
  for (const instance_status& each : aInstances) {
    out = std::max(out, each.mManifest);
  }
  return out;
}

bool
Healthy(const std::vector<instance_status>& aInstances)
{
  const model::manifest_version newest = Newest(aInstances);
  return std::all_of(
    aInstances.begin(), aInstances.end(), [&](const auto& aEach) {
      const bool well = aEach.mAnswered && aEach.mReady &&
                        aEach.mManifest == newest && aEach.mAlarms.empty();
      return well || aEach.mLeaving;
    });
}

/** The end of a call to the first instance that could be reached. */
struct first_reached
{
  bool mSent = false; ///< False: no byte left for any instance.
  net::exchange_result mResult;
};

/** Tries one instance after another, as long as no byte has left. */
first_reached
CallOne(const command_context& aContext, const net::http_request& aRequest)
{
  for (const instance_status& target : FindInstances(aContext).mInstances) {
    const auto results = aContext.mInstances->CallAll(
      { target.mAddress }, aRequest, aContext.mOptions.mTimeout);
    if (results.front().mState != net::send_state::NotSent) {
      return { true, results.front() };
    }
    *aContext.mErr << target.mInstance << " could not be reached\n";
  }
  return {};
}

exit_code
ExitOf(const std::string& aStatus)
{
  if (aStatus == "complete") {
    return exit_code::Done;
  }
  if (aStatus == "partial") {
    return exit_code::Partial;
  }
  if (aStatus == "failed") {
    return exit_code::Failed;
  }
  return aStatus == "not_run" ? exit_code::NotRun : exit_code::Unknown;
}

model::query
QueryOf(const command_context& aContext)
{
  const command_options& options = aContext.mOptions;
  model::query out;
  out.mRequest = model::request_id(
    options.mRequest.empty() ? aContext.mFreshId() : options.mRequest);
  out.mService = model::service_id(options.mService);
  out.mKind = model::kind_id(options.mKind);
  out.mWorkspace = model::workspace_id(options.mTenant);
  out.mIssuedAt = options.mIssuedAtMs
                    ? model::wall_instant(milliseconds(*options.mIssuedAtMs))
                    : aContext.mWallNow();
  if (options.mDeadlineMs) {
    out.mDeadline = milliseconds(*options.mDeadlineMs);
  }
  out.mBody = options.mBody;
  return out;
}

} // namespace

exit_code
RunStatus(const command_context& aContext)
{
  const instance_targets targets = FindInstances(aContext);
  if (!targets.mKnown) {
    *aContext.mErr << "the instance list could not be read; name instances "
                      "with --instance\n";
    return exit_code::NoAnswer;
  }
  const auto states = AskInstances(aContext, targets.mInstances);
  const bool healthy = Healthy(states) && !states.empty();
  aContext.Report({ { "manifest", Newest(states) },
                    { "healthy", healthy },
                    { "instances", ToJson(states) } });
  return healthy ? exit_code::Done : exit_code::Unhealthy;
}

exit_code
RunWatch(const command_context& aContext)
{
  const model::instant end = aContext.mNow() + aContext.mOptions.mTimeout;
  std::optional<std::vector<instance_status>> before;
  while (aContext.mNow() < end) {
    const instance_targets targets = FindInstances(aContext);
    if (!targets.mKnown) {
      *aContext.mErr << "the instance list could not be read\n";
    } else {
      auto states = AskInstances(aContext, targets.mInstances);
      if (before != states) {
        aContext.Report(
          { { "manifest", Newest(states) }, { "instances", ToJson(states) } });
        before = std::move(states);
      }
    }
    aContext.mSleep(kWatchPeriod);
  }
  return before ? exit_code::Done : exit_code::NoAnswer;
}

exit_code
RunQuery(const command_context& aContext)
{
  const std::string text = config::EmitQuery(QueryOf(aContext));
  const auto checked = config::ParseQuery(text);
  if (checked.has_error()) {
    aContext.Report(json::parse(config::EmitBadQuery(checked.error())));
    return exit_code::Faults;
  }
  const first_reached end = CallOne(aContext, { "POST", "/v1/query", text });
  if (!end.mSent) {
    *aContext.mErr << "not run: no instance could be reached\n";
    return exit_code::NotRun;
  }
  const net::http_response& response = end.mResult.mResponse;
  const json answer = end.mResult.mState == net::send_state::Replied
                        ? json::parse(response.mBody, nullptr, false)
                        : json();
  if (!answer.is_object()) {
    *aContext.mErr << "no answer came; the request " << checked.value().mRequest
                   << ", issued at "
                   << checked.value().mIssuedAt->time_since_epoch().count()
                   << ", may have run\n";
    return exit_code::Unknown;
  }
  aContext.Report(answer);
  if (response.mStatus == net::kHttpBadRequest) {
    return exit_code::Faults;
  }
  return ExitOf(answer.value("status", json("")).is_string()
                  ? answer.value("status", json("")).get<std::string>()
                  : std::string());
}

namespace {

/** The story of a request from log files, or from standard input. */
exit_code
RunStory(const command_context& aContext)
{
  std::stringstream logs;
  for (const std::string& path : aContext.mOptions.mLogs) {
    std::ifstream file(path);
    if (!file) {
      *aContext.mErr << path << ": cannot be read\n";
      return exit_code::Faults;
    }
    // A file without lines would set the stream's fail bit.
    if (file.peek() != std::ifstream::traits_type::eof()) {
      logs << file.rdbuf();
    }
  }
  const request_story story =
    TellStory(aContext.mOptions.mLogs.empty() ? std::cin : logs,
              aContext.mOptions.mRequest);
  for (const std::string& line : story.mLines) {
    *aContext.mOut << line << "\n";
  }
  if (!story.mFound) {
    *aContext.mErr << "no line of request " << aContext.mOptions.mRequest
                   << " among " << story.mRead << "\n";
    return exit_code::NoAnswer;
  }
  return exit_code::Done;
}

} // namespace

exit_code
RunExplain(const command_context& aContext)
{
  if (!aContext.mOptions.mRequest.empty()) {
    return RunStory(aContext);
  }
  if (aContext.mOptions.mService.empty()) {
    *aContext.mErr << "explain: --request, or --service with --kind\n";
    return exit_code::Usage;
  }
  const json question = { { "service", aContext.mOptions.mService },
                          { "kind", aContext.mOptions.mKind } };
  const first_reached end =
    CallOne(aContext,
            { "POST",
              "/v1/explain",
              question.dump(-1, ' ', false, json::error_handler_t::replace) });
  const json answer = json::parse(end.mResult.mResponse.mBody, nullptr, false);
  if (!answer.is_object()) {
    *aContext.mErr << "no answer came\n";
    return exit_code::NoAnswer;
  }
  aContext.Report(answer);
  return end.mResult.mResponse.mStatus == net::kHttpOk ? exit_code::Done
                                                       : exit_code::Faults;
}

exit_code
RunCommand(const command_context& aContext)
{
  switch (aContext.mOptions.mCommand) {
    case command::Check:
      return RunCheck(aContext);
    case command::Plan:
      return RunPlan(aContext);
    case command::Apply:
      return RunApply(aContext);
    case command::Status:
      return RunStatus(aContext);
    case command::Watch:
      return RunWatch(aContext);
    case command::Query:
      return RunQuery(aContext);
    case command::Explain:
      return RunExplain(aContext);
    case command::Settings:
      return RunSettings(aContext);
  }
  return exit_code::Usage;
}

} // namespace monsooncroft::ctl
