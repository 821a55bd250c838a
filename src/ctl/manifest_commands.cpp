/**
 * @file manifest_commands.cpp
 * The commands check, plan, apply and settings.
 */
#include "config/manifest_json_func.h"
#include "config/settings_base.h"
#include "config/settings_doc_func.h"
#include "ctl/command_context_base.h"
#include "ctl/command_func.h"
#include "store/apply_run_func.h"
#include "store/manifest_fetch_func.h"
#include "store/manifest_plan_type.h"
#include "store/manifest_reader_base.h"

#include <algorithm>
#include <ostream>

namespace monsooncroft::ctl {

namespace {

using json = nlohmann::ordered_json;

constexpr model::duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr model::duration kMaxBackoff = std::chrono::seconds(2);
constexpr model::duration kPollPeriod = std::chrono::milliseconds(250);
constexpr int kFetchAttempts = 3;

void
ReportFaults(const command_context& aContext,
             const config::config_errors& aErrors)
{
  json faults = json::array();
  for (const config::config_error& error : aErrors) {
    faults.push_back({ { "path", error.mPath },
                       { "found", error.mFound },
                       { "allowed", error.mAllowed } });
  }
  aContext.Report({ { "valid", false }, { "faults", std::move(faults) } });
}

/** Returns the manifest named on the command line; if it is invalid or cannot
 * be read, reports why and returns nothing. */
std::optional<model::manifest>
LoadManifestFile(const command_context& aContext)
{
  const auto text = ReadFile(aContext, aContext.mOptions.mFile);
  if (!text) {
    return std::nullopt;
  }
  auto parsed = config::ParseManifest(*text, 0);
  if (parsed.has_error()) {
    ReportFaults(aContext, parsed.error());
    return std::nullopt;
  }
  return std::move(parsed.value());
}

/** Returns the manifest in force, or an empty one of version 0 if there is
 * none; nothing, after printing alarms, if it cannot be read. */
std::optional<model::manifest>
FetchManifestInForce(const command_context& aContext)
{
  store::manifest_reader reader;
  for (int i = 0; i < kFetchAttempts; ++i) {
    const auto fetched = store::FetchManifest(*aContext.mStore, reader);
    if (fetched.mStatus == store::store_status::NotFound) {
      return model::manifest(0, {}, {});
    }
    if (reader.InForce()) {
      return *reader.InForce();
    }
    aContext.mSleep(kInitialBackoff);
  }
  for (const store::manifest_alarm& alarm : reader.Alarms()) {
    *aContext.mErr << ToString(alarm.mKind) << ": " << alarm.mText << "\n";
  }
  return std::nullopt;
}

json
ToJson(const std::vector<store::plan_entry>& aPlan)
{
  json out = json::array();
  for (const store::plan_entry& entry : aPlan) {
    out.push_back({ { "change", ToString(entry.mChange) },
                    { "what", ToString(entry.mSubject) },
                    { "service", entry.mService.Value() },
                    { "name", entry.mName },
                    { "detail", entry.mDetail } });
  }
  return out;
}

/** Returns the instances that do not have the version in force yet, except
 * those that are leaving. */
std::vector<instance_status>
InstancesBehind(const std::vector<instance_status>& aInstances,
                model::manifest_version aVersion)
{
  std::vector<instance_status> out;
  for (const instance_status& instance : aInstances) {
    const bool upToDate = instance.mAnswered && instance.mManifest >= aVersion;
    if (!upToDate && !instance.mLeaving) {
      out.push_back(instance);
    }
  }
  return out;
}

void
ReportProgress(const command_context& aContext,
               model::manifest_version aVersion,
               std::size_t aInstanceCount,
               const std::vector<instance_status>& aBehind)
{
  json names = json::array();
  for (const instance_status& instance : aBehind) {
    names.push_back(instance.mInstance +
                    (instance.mAnswered
                       ? " at " + std::to_string(instance.mManifest)
                       : " silent"));
  }
  aContext.Report({ { "manifest", aVersion },
                    { "in_force_on", aInstanceCount - aBehind.size() },
                    { "of", aInstanceCount },
                    { "waiting_for", std::move(names) } });
}

/** Waits until every instance has the version, or a newer one, in force. */
exit_code
WaitUntilInForce(const command_context& aContext,
                 model::manifest_version aVersion,
                 model::instant aDeadline)
{
  std::optional<std::vector<instance_status>> previous;
  while (true) {
    const instance_targets targets = FindInstances(aContext);
    const auto states = FetchInstanceStatus(aContext, targets.mInstances);
    const auto behind = InstancesBehind(states, aVersion);
    if (targets.mListAvailable && previous != behind) {
      ReportProgress(aContext, aVersion, states.size(), behind);
      previous = behind;
    }
    if (targets.mListAvailable && behind.empty()) {
      return exit_code::Done;
    }
    if (aContext.mNow() >= aDeadline) {
      *aContext.mErr << "accepted, but not seen in force everywhere in time\n";
      return exit_code::NotEverywhere;
    }
    aContext.mSleep(kPollPeriod);
  }
}

exit_code
ExitCodeOf(store::apply_end aResult)
{
  switch (aResult) {
    case store::apply_end::Accepted:
      return exit_code::Done;
    case store::apply_end::Conflict:
      return exit_code::Conflict;
    case store::apply_end::NotApplied:
      return exit_code::NotApplied;
    case store::apply_end::Unknown:
      return exit_code::Unknown;
  }
  return exit_code::Unknown;
}

store::apply_request
BuildApplyRequest(const command_context& aContext,
                  const model::manifest& aManifest)
{
  const command_options& options = aContext.mOptions;
  const std::string name =
    options.mChangeId.empty() ? aContext.mNewId() : options.mChangeId;
  auto out = store::apply_request::Of(aManifest, store::change_id(name));
  out.mBase = options.mBase;
  out.mRepeated = options.mRepeat;
  out.mRecover = options.mRecover;
  // Every version that an instance has in force was accepted before. A store
  // that has lost its manifest must not accept a version below that.
  const auto states =
    FetchInstanceStatus(aContext, FindInstances(aContext).mInstances);
  for (const instance_status& instance : states) {
    out.mSeen = std::max(out.mSeen, instance.mManifest);
  }
  return out;
}

json
BuildApplyReport(const store::apply_request& aRequest,
                 const store::apply_verdict& aVerdict)
{
  json out = { { "result", ToString(aVerdict.mEnd) },
               { "change", aRequest.mChange.Value() } };
  const bool accepted = aVerdict.mEnd == store::apply_end::Accepted;
  if (accepted) {
    out["manifest"] = aVerdict.mVersion;
    if (aVerdict.mNewest > aVerdict.mVersion) {
      out["superseded_by"] = aVerdict.mNewest;
    }
    return out;
  }
  out["reason"] = aVerdict.mReason;
  if (aVerdict.mEnd == store::apply_end::Conflict) {
    out["first"] = aVerdict.mWinner.Empty() ? json("not known")
                                            : json(aVerdict.mWinner.Value());
    out["manifest_of_first"] = aVerdict.mVersion;
  }
  return out;
}

} // namespace

exit_code
RunCheck(const command_context& aContext)
{
  const auto loaded = LoadManifestFile(aContext);
  if (!loaded) {
    return exit_code::Faults;
  }
  std::size_t shards = 0;
  std::size_t leaves = 0;
  for (const model::service& service : loaded->Services()) {
    shards += service.mShards.size();
    leaves += service.mLeaves.size();
  }
  aContext.Report({ { "valid", true },
                    { "tenants", loaded->Workspaces().size() },
                    { "services", loaded->Services().size() },
                    { "shards", shards },
                    { "leaves", leaves } });
  return exit_code::Done;
}

exit_code
RunPlan(const command_context& aContext)
{
  const auto loaded = LoadManifestFile(aContext);
  if (!loaded) {
    return exit_code::Faults;
  }
  const auto inForce = FetchManifestInForce(aContext);
  if (!inForce) {
    *aContext.mErr << "the manifest in force could not be read\n";
    return exit_code::NoAnswer;
  }
  const auto plan = store::PlanChanges(*inForce, *loaded);
  aContext.Report({ { "base", inForce->Version() },
                    { "changes", plan.size() },
                    { "plan", ToJson(plan) } });
  return exit_code::Done;
}

exit_code
RunApply(const command_context& aContext)
{
  const model::instant deadline = aContext.mNow() + aContext.mOptions.mTimeout;
  const auto loaded = LoadManifestFile(aContext);
  if (!loaded) {
    return exit_code::Faults;
  }
  const store::apply_request request = BuildApplyRequest(aContext, *loaded);
  const auto pause = [&aContext](int aFailures) {
    const model::duration backoff =
      kInitialBackoff * (1 << std::min(aFailures, 5));
    aContext.mSleep(std::min(backoff, kMaxBackoff));
  };
  const store::apply_verdict verdict =
    store::RunApply(request, *aContext.mStore, pause);
  aContext.Report(BuildApplyReport(request, verdict));
  const bool accepted = verdict.mEnd == store::apply_end::Accepted;
  if (!accepted || !aContext.mOptions.mWait) {
    return ExitCodeOf(verdict.mEnd);
  }
  return WaitUntilInForce(aContext, verdict.mVersion, deadline);
}

exit_code
RunSettings(const command_context& aContext)
{
  if (aContext.mOptions.mFile.empty()) {
    *aContext.mOut << config::SettingsPage();
    return exit_code::Done;
  }
  const auto text = ReadFile(aContext, aContext.mOptions.mFile);
  if (!text) {
    return exit_code::Faults;
  }
  const auto parsed = config::settings::Parse(*text);
  if (parsed.has_error()) {
    ReportFaults(aContext, parsed.error());
    return exit_code::Faults;
  }
  aContext.Report({ { "valid", true } });
  return exit_code::Done;
}

} // namespace monsooncroft::ctl
