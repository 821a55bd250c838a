/**
 * @file instance_commands.cpp
 * The commands status, watch, query and explain.
 */
#include "config/query_json_func.h"
#include "ctl/command_context_base.h"
#include "ctl/command_func.h"
#include "ctl/instance_client_base.h"
#include "ctl/request_timeline_func.h"

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
NewestManifest(const std::vector<instance_status>& aInstances)
{
  model::manifest_version out = 0;
  for (const instance_status& instance : aInstances) {
    out = std::max(out, instance.mManifest);
  }
  return out;
}

bool
AllHealthy(const std::vector<instance_status>& aInstances)
{
  const model::manifest_version newest = NewestManifest(aInstances);
  return std::all_of(
    aInstances.begin(), aInstances.end(), [&](const auto& aInstance) {
      const bool ok = aInstance.mAnswered && aInstance.mReady &&
                      aInstance.mManifest == newest &&
                      aInstance.mAlarms.empty();
      return ok || aInstance.mLeaving;
    });
}

/** The outcome of a call to the first reachable instance. */
struct call_outcome
{
  bool mSent = false; ///< False: no byte was sent to any instance.
  net::exchange_result mResult;
};

/** Tries one instance after another until a byte of the request may have been
 * sent: the request may run from then on and must not be sent twice. */
call_outcome
CallFirstReachable(const command_context& aContext,
                   const net::http_request& aRequest)
{
  for (const instance_status& target : FindInstances(aContext).mInstances) {
    const auto results = aContext.mInstanceClient->CallAll(
      { target.mAddress }, aRequest, aContext.mOptions.mTimeout);
    if (results.front().mState != net::send_state::NotSent) {
      return { true, results.front() };
    }
    *aContext.mErr << target.mInstance << " could not be reached\n";
  }
  return {};
}

exit_code
ExitCodeOf(const std::string& aStatus)
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
BuildQuery(const command_context& aContext)
{
  const command_options& options = aContext.mOptions;
  model::query out;
  out.mRequest = model::request_id(
    options.mRequestId.empty() ? aContext.mNewId() : options.mRequestId);
  out.mService = model::service_id(options.mService);
  out.mKind = model::kind_id(options.mKind);
  out.mWorkspace = model::workspace_id(options.mWorkspace);
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
  if (!targets.mListAvailable) {
    *aContext.mErr << "the instance list could not be read; name instances "
                      "with --instance\n";
    return exit_code::NoAnswer;
  }
  const auto states = FetchInstanceStatus(aContext, targets.mInstances);
  const bool healthy = AllHealthy(states) && !states.empty();
  aContext.Report({ { "manifest", NewestManifest(states) },
                    { "healthy", healthy },
                    { "instances", ToJson(states) } });
  return healthy ? exit_code::Done : exit_code::Unhealthy;
}

exit_code
RunWatch(const command_context& aContext)
{
  const model::instant deadline = aContext.mNow() + aContext.mOptions.mTimeout;
  std::optional<std::vector<instance_status>> previous;
  while (aContext.mNow() < deadline) {
    const instance_targets targets = FindInstances(aContext);
    if (!targets.mListAvailable) {
      *aContext.mErr << "the instance list could not be read\n";
    } else {
      auto states = FetchInstanceStatus(aContext, targets.mInstances);
      if (previous != states) {
        aContext.Report({ { "manifest", NewestManifest(states) },
                          { "instances", ToJson(states) } });
        previous = std::move(states);
      }
    }
    aContext.mSleep(kWatchPeriod);
  }
  return previous ? exit_code::Done : exit_code::NoAnswer;
}

exit_code
RunQuery(const command_context& aContext)
{
  const std::string text = config::EmitQuery(BuildQuery(aContext));
  const auto parsed = config::ParseQuery(text);
  if (parsed.has_error()) {
    aContext.Report(json::parse(config::EmitBadQuery(parsed.error())));
    return exit_code::Faults;
  }
  const call_outcome outcome =
    CallFirstReachable(aContext, { "POST", "/v1/query", text });
  if (!outcome.mSent) {
    *aContext.mErr << "not run: no instance could be reached\n";
    return exit_code::NotRun;
  }
  const net::http_response& response = outcome.mResult.mResponse;
  const json answer = outcome.mResult.mState == net::send_state::Replied
                        ? json::parse(response.mBody, nullptr, false)
                        : json();
  if (!answer.is_object()) {
    *aContext.mErr << "no answer came; the request " << parsed.value().mRequest
                   << ", issued at "
                   << parsed.value().mIssuedAt->time_since_epoch().count()
                   << ", may have run\n";
    return exit_code::Unknown;
  }
  aContext.Report(answer);
  if (response.mStatus == net::kHttpBadRequest) {
    return exit_code::Faults;
  }
  return ExitCodeOf(answer.value("status", json("")).is_string()
                      ? answer.value("status", json("")).get<std::string>()
                      : std::string());
}

namespace {

/** Prints the timeline of a request from log files, or from standard input. */
exit_code
PrintTimeline(const command_context& aContext)
{
  std::stringstream logs;
  for (const std::string& path : aContext.mOptions.mLogFiles) {
    std::ifstream file(path);
    if (!file) {
      *aContext.mErr << path << ": cannot be read\n";
      return exit_code::Faults;
    }
    // Inserting an empty file would set the stream's fail bit.
    if (file.peek() != std::ifstream::traits_type::eof()) {
      logs << file.rdbuf();
    }
  }
  const request_timeline timeline =
    FormatTimeline(aContext.mOptions.mLogFiles.empty() ? std::cin : logs,
                   aContext.mOptions.mRequestId);
  for (const std::string& line : timeline.mLines) {
    *aContext.mOut << line << "\n";
  }
  if (!timeline.mRequestFound) {
    *aContext.mErr << "no line of request " << aContext.mOptions.mRequestId
                   << " among " << timeline.mLinesRead << "\n";
    return exit_code::NoAnswer;
  }
  return exit_code::Done;
}

} // namespace

exit_code
RunExplain(const command_context& aContext)
{
  if (!aContext.mOptions.mRequestId.empty()) {
    return PrintTimeline(aContext);
  }
  if (aContext.mOptions.mService.empty()) {
    *aContext.mErr << "explain: --request, or --service with --kind\n";
    return exit_code::Usage;
  }
  const json request = { { "service", aContext.mOptions.mService },
                         { "kind", aContext.mOptions.mKind } };
  const call_outcome outcome = CallFirstReachable(
    aContext,
    { "POST",
      "/v1/explain",
      request.dump(-1, ' ', false, json::error_handler_t::replace) });
  const json answer =
    json::parse(outcome.mResult.mResponse.mBody, nullptr, false);
  if (!answer.is_object()) {
    *aContext.mErr << "no answer came\n";
    return exit_code::NoAnswer;
  }
  aContext.Report(answer);
  return outcome.mResult.mResponse.mStatus == net::kHttpOk ? exit_code::Done
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
