/**
 * @file command_context_base.h
 * The options, services and output streams that commands use.
 */
#ifndef MONSOONCROFT_CTL_COMMAND_CONTEXT_BASE_H
#define MONSOONCROFT_CTL_COMMAND_CONTEXT_BASE_H

#include "ctl/command_type.h"
#include "ctl/instance_status_type.h"
#include "model/time_type.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace monsooncroft::store {
class instance_list;
class key_value_service;
}

namespace monsooncroft::ctl {

class instance_client;

/** Dependencies of a command: all input, output, time and remote calls pass
 * through them. The objects behind the pointers outlive the context. */
struct command_context
{
  command_options mOptions;
  store::key_value_service* mStore = nullptr;    ///< Null without --platform.
  store::instance_list* mInstanceList = nullptr; ///< Null without --platform.
  instance_client* mInstanceClient = nullptr;    ///< Calls to instances.
  std::ostream* mOut = nullptr;                  ///< Receives reports.
  std::ostream* mErr = nullptr; ///< Receives progress and error messages.
  std::function<model::instant()> mNow;          ///< Monotonic clock.
  std::function<model::wall_instant()> mWallNow; ///< Wall clock.
  std::function<void(model::duration)> mSleep;   ///< Blocks for a duration.
  std::function<std::string()>
    mNewId; ///< Returns an id that was never used before.

  /** Prints a report to mOut: one JSON line with --json, otherwise text for
   * people. */
  void Report(const nlohmann::ordered_json& aReport) const;
};

/** The instances that a command addresses, before their status is fetched. */
struct instance_targets
{
  /** False if the platform's list is needed and could not be read. */
  bool mListAvailable = false;
  std::vector<instance_status> mInstances; ///< Addresses and listed names.
};

/** Returns the instances named on the command line or, if none is named, the
 * entry instances in the platform's list. */
instance_targets
FindInstances(const command_context& aContext);

/** Calls /v1/status on every target and returns the targets with the answers
 * filled in. */
std::vector<instance_status>
FetchInstanceStatus(const command_context& aContext,
                    std::vector<instance_status> aTargets);

/** Converts statuses to a JSON array with one object per instance, for
 * reports. */
nlohmann::ordered_json
ToJson(const std::vector<instance_status>& aInstances);

/**
 * Reads a file.
 * @return The text, or nothing after an error message on mErr if the file
 * cannot be read.
 */
std::optional<std::string>
ReadFile(const command_context& aContext, const std::string& aPath);

} // namespace monsooncroft::ctl

#endif
