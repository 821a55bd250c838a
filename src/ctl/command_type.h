/**
 * @file command_type.h
 * The parsed command line and the exit codes; see docs/CTL.md.
 */
#ifndef MONSOONCROFT_CTL_COMMAND_TYPE_H
#define MONSOONCROFT_CTL_COMMAND_TYPE_H

#include "model/endpoint_type.h"
#include "model/manifest_base.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** Exit codes, for scripts. */
enum class exit_code
{
  Done = 0,       ///< Success: the requested state holds.
  Faults = 1,     ///< The file cannot be read, or the file or query is invalid.
  Usage = 2,      ///< The command line is invalid.
  Conflict = 3,   ///< Another change was applied first.
  NotApplied = 4, ///< The change has not taken effect and never will.
  Unknown = 5,    ///< The change, or the request, may have taken effect.
  NotEverywhere = 6, ///< Accepted, but not in force on every instance in time.
  NoAnswer = 7,      ///< No answer from the platform or the instances.
  Unhealthy = 8,     ///< status: an instance does not answer, is not ready, is
                     ///< behind the newest manifest or has an alarm.
  Partial = 10,      ///< query: the answer is partial.
  Failed = 11,       ///< query: the query failed.
  NotRun = 12,       ///< query: the query was not run.
};

/** The commands. */
enum class command
{
  Check,    ///< Validates a manifest file.
  Plan,     ///< Shows what a manifest would change.
  Apply,    ///< Puts a manifest into force.
  Status,   ///< Prints the status of every instance.
  Watch,    ///< Prints the status of all instances whenever it changes.
  Query,    ///< Sends a query.
  Explain,  ///< Shows how a query would be routed, or a request's timeline.
  Settings, ///< Validates a settings file or prints the settings page.
};

/** The command line, parsed. */
struct command_options
{
  command mCommand = command::Check;
  std::vector<model::endpoint> mPlatform; ///< Platform addresses.
  /** Caller addresses; empty: the instances on the platform's list. */
  std::vector<model::endpoint> mInstances;
  bool mJson = false; ///< Print reports as JSON lines.
  /** Limit of the whole wait; of each call for query and explain. */
  std::chrono::milliseconds mTimeout{ 30000 };

  std::string mFile;     ///< Path of the manifest or settings file.
  std::string mChangeId; ///< Id of the change; empty: a new id is generated.
  bool mRepeat =
    false; ///< An earlier run of this change may have taken effect.
  bool mRecover = false; ///< The platform lost its manifest: continue above the
                         ///< version that instances have in force.
  bool mWait = false;    ///< Wait until every instance has it in force.
  /** Version that the change was planned against; absent: not checked. */
  std::optional<model::manifest_version> mBase;

  std::string mService;   ///< Service name, for query and explain.
  std::string mKind;      ///< Request kind, for query and explain.
  std::string mWorkspace; ///< Workspace name, for query.
  std::string mRequestId; ///< For query: empty: a new id is generated. For
                          ///< explain: request whose timeline is printed.
  std::vector<std::string> mLogFiles; ///< For explain; empty: standard input.
  std::string mBody; ///< Query body for the leaves, as JSON text.
  std::optional<std::int64_t> mIssuedAtMs; ///< First sending; absent: now.
  std::optional<std::int64_t> mDeadlineMs; ///< Absent: the contract's.
};

} // namespace monsooncroft::ctl

#endif
