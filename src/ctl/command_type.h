/**
 * @file command_type.h
 * What an operator asked for, and the exit codes; see docs/CTL.md.
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
  Done = 0,          ///< What was asked for holds.
  Faults = 1,        ///< The file or the query has faults.
  Usage = 2,         ///< The command line is wrong.
  Conflict = 3,      ///< Another change came first.
  NotApplied = 4,    ///< The change never takes effect.
  Unknown = 5,       ///< The change, or the request, may have taken effect.
  NotEverywhere = 6, ///< Accepted, but not in force on every instance in time.
  NoAnswer = 7,      ///< The platform or the instances gave no answer.
  Unhealthy =
    8, ///< status: an instance is silent, not ready, behind or alarmed.
  Partial = 10, ///< query: a partial answer.
  Failed = 11,  ///< query: failed.
  NotRun = 12,  ///< query: not run.
};

/** The commands. */
enum class command
{
  Check,    ///< Checks a manifest.
  Plan,     ///< Shows what a manifest would change.
  Apply,    ///< Puts a manifest into force.
  Status,   ///< Shows every instance once.
  Watch,    ///< Shows every change of the instances.
  Query,    ///< Asks a query.
  Explain,  ///< Shows how a query would be routed, or a request's story.
  Settings, ///< Checks settings, or prints the page about them.
};

/** The command line, parsed. */
struct command_options
{
  command mCommand = command::Check;
  std::vector<model::endpoint> mPlatform;  ///< Platform addresses.
  std::vector<model::endpoint> mInstances; ///< Caller addresses; empty: from
                                           ///< the platform's list.
  bool mJson = false;                      ///< Output for scripts.
  std::chrono::milliseconds mTimeout{ 30000 }; ///< For waiting as a whole.

  std::string mFile;     ///< Manifest or settings.
  std::string mChangeId; ///< Change id; empty: a fresh one.
  bool mRepeat = false;  ///< An earlier run used the same change id.
  bool mRecover = false; ///< Go on above the version in force.
  bool mWait = false;    ///< Wait until it is in force everywhere.
  std::optional<model::manifest_version> mBase; ///< Planned against.

  std::string mService;                    ///< For query and explain.
  std::string mKind;                       ///< For query and explain.
  std::string mWorkspace;                  ///< For query.
  std::string mRequestId;                  ///< Request id; empty: a fresh one.
  std::vector<std::string> mLogFiles;      ///< For explain; empty: input.
  std::string mBody;                       ///< JSON.
  std::optional<std::int64_t> mIssuedAtMs; ///< Absent: now.
  std::optional<std::int64_t> mDeadlineMs; ///< Absent: the contract's.
};

} // namespace monsooncroft::ctl

#endif
