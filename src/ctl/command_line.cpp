/**
 * @file command_line.cpp
 * Parses the command line.
 */
#include "ctl/command_line_func.h"

#include "config/object_reader_base.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace monsooncroft::ctl {

namespace {

using std::chrono::milliseconds;

constexpr int kMillisecondsInSecond = 1000;
constexpr double kDefaultTimeoutSeconds = 30;
constexpr double kMaxTimeoutSeconds = 86400 * 365.0;

/** Values as CLI11 parses them, before they are converted to options. */
struct raw_options
{
  command_options mOptions;
  std::vector<std::string> mPlatform;
  std::vector<std::string> mInstances;
  std::optional<double> mTimeoutSeconds;
};

/** Returns an error message unless the text is a numeric endpoint. */
std::string
CheckEndpoint(const std::string& aText)
{
  return model::endpoint::Parse(aText) ? ""
                                       : aText + " is not a numeric ip:port";
}

/** Returns an error message unless the text is a valid name for a change. The
 * length limit leaves room for the digest that store::apply_request appends. */
std::string
CheckChangeId(const std::string& aText)
{
  constexpr std::size_t kMaxChangeIdLength = 60;
  const bool fits = config::IsName(aText) && aText.size() <= kMaxChangeIdLength;
  return fits ? ""
              : "a change's name is 1 to 60 letters, digits, '.', '_' or '-'";
}

std::vector<model::endpoint>
ParseEndpoints(const std::vector<std::string>& aTexts)
{
  std::vector<model::endpoint> out;
  out.reserve(aTexts.size());
  for (const std::string& text : aTexts) {
    out.push_back(*model::endpoint::Parse(text));
  }
  return out;
}

CLI::App*
AddCommand(CLI::App& aApp,
           raw_options& aRaw,
           command aCommand,
           const char* aName,
           const char* aText)
{
  CLI::App* sub = aApp.add_subcommand(aName, aText);
  sub->callback([&aRaw, aCommand] { aRaw.mOptions.mCommand = aCommand; });
  return sub;
}

void
AddCommon(CLI::App& aApp, raw_options& aRaw)
{
  aApp.add_option("--platform", aRaw.mPlatform, "Platform address, ip:port")
    ->check(CheckEndpoint)
    ->take_all();
  aApp
    .add_option("--instance",
                aRaw.mInstances,
                "Caller address of an entry instance (default: the platform's "
                "instance list)")
    ->check(CheckEndpoint)
    ->take_all();
  aApp.add_flag("--json", aRaw.mOptions.mJson, "JSON lines for scripts");
  aApp.add_option("--timeout", aRaw.mTimeoutSeconds, "Seconds to wait in all")
    ->check(CLI::Range(0.1, kMaxTimeoutSeconds));
}

void
AddManifestCommands(CLI::App& aApp, raw_options& aRaw)
{
  command_options& options = aRaw.mOptions;
  CLI::App* check =
    AddCommand(aApp, aRaw, command::Check, "check", "Check a manifest");
  check->add_option("file", options.mFile, "Manifest")->required();
  CLI::App* plan = AddCommand(
    aApp, aRaw, command::Plan, "plan", "Show what a manifest would change");
  plan->add_option("file", options.mFile, "Manifest")->required();
  CLI::App* apply = AddCommand(
    aApp, aRaw, command::Apply, "apply", "Put a manifest into force");
  apply->add_option("file", options.mFile, "Manifest")->required();
  apply->add_flag(
    "--wait", options.mWait, "Wait until every instance has it in force");
  apply->add_option(
    "--base", options.mBase, "Version planned against; refused if it moved");
  CLI::Option* change =
    apply
      ->add_option("--change",
                   options.mChangeId,
                   "Name of this change (default: a fresh one)")
      ->check(CheckChangeId);
  apply
    ->add_flag("--repeat",
               options.mRepeat,
               "An earlier run with this --change may have taken effect")
    ->needs(change);
  apply->add_flag("--recover",
                  options.mRecover,
                  "The platform lost its manifest: go on above the version "
                  "that instances have in force");
}

void
AddInstanceCommands(CLI::App& aApp, raw_options& aRaw)
{
  command_options& options = aRaw.mOptions;
  AddCommand(
    aApp, aRaw, command::Status, "status", "Show every entry instance");
  AddCommand(
    aApp, aRaw, command::Watch, "watch", "Show every change, until stopped");
  CLI::App* query =
    AddCommand(aApp, aRaw, command::Query, "query", "Ask a query");
  CLI::App* explain =
    AddCommand(aApp,
               aRaw,
               command::Explain,
               "explain",
               "Show how a query would be routed, or what became "
               "of a request");
  query->add_option("--service", options.mService, "Service")->required();
  query->add_option("--kind", options.mKind, "Request kind")->required();
  CLI::Option* service =
    explain->add_option("--service", options.mService, "Service");
  CLI::Option* kind =
    explain->add_option("--kind", options.mKind, "Request kind");
  service->needs(kind);
  kind->needs(service);
  explain
    ->add_option("--request",
                 options.mRequestId,
                 "Request id: tells its story from the instances' logs")
    ->excludes(service);
  explain->add_option(
    "logs", options.mLogFiles, "Log files, with --request (default: input)");
  query->add_option("--tenant", options.mWorkspace, "Tenant")->required();
  query->add_option(
    "--id", options.mRequestId, "Request id (default: a fresh one)");
  query->add_option(
    "--issued-at-ms",
    options.mIssuedAtMs,
    "Wall clock of the first sending (default: now); keep it with --id");
  query->add_option("--body", options.mBody, "JSON for the leaves");
  query->add_option("--deadline-ms", options.mDeadlineMs, "Deadline");
  CLI::App* settings = AddCommand(aApp,
                                  aRaw,
                                  command::Settings,
                                  "settings",
                                  "Check a settings file, or print the page");
  settings->add_option("file", options.mFile, "Settings file");
}

bool
NeedsPlatform(const command_options& aOptions)
{
  switch (aOptions.mCommand) {
    case command::Plan:
    case command::Apply:
      return true;
    case command::Check:
    case command::Settings:
      return false;
    case command::Explain:
      return aOptions.mRequestId.empty() && aOptions.mInstances.empty();
    default:
      return aOptions.mInstances.empty();
  }
}

} // namespace

std::variant<command_options, exit_code>
ParseCommandLine(int aCount, char** aArguments)
{
  raw_options raw;
  CLI::App app{ "monsooncroftctl: the operators' command of the query tier" };
  app.require_subcommand(1);
  app.fallthrough();
  AddCommon(app, raw);
  AddManifestCommands(app, raw);
  AddInstanceCommands(app, raw);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? exit_code::Done : exit_code::Usage;
  }
  command_options options = std::move(raw.mOptions);
  options.mPlatform = ParseEndpoints(raw.mPlatform);
  options.mInstances = ParseEndpoints(raw.mInstances);
  const bool runsUntilStopped = options.mCommand == command::Watch;
  const double seconds = raw.mTimeoutSeconds.value_or(
    runsUntilStopped ? kMaxTimeoutSeconds : kDefaultTimeoutSeconds);
  options.mTimeout =
    milliseconds(static_cast<std::int64_t>(seconds * kMillisecondsInSecond));
  if (NeedsPlatform(options) && options.mPlatform.empty()) {
    std::cerr << "--platform is needed here\n";
    return exit_code::Usage;
  }
  return options;
}

} // namespace monsooncroft::ctl
