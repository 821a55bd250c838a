/**
 * @file command_context_base.h
 * What commands work with.
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

/** Every effect that a command may have; all pointers outlive it. */
struct command_context
{
  command_options mOptions;
  store::key_value_service* mStore = nullptr;    ///< Null without --platform.
  store::instance_list* mInstanceList = nullptr; ///< Null without --platform.
  instance_client* mInstanceClient = nullptr;
  std::ostream* mOut = nullptr;                  ///< Reports.
  std::ostream* mErr = nullptr;                  ///< Progress and faults.
  std::function<model::instant()> mNow;          ///< Monotonic clock.
  std::function<model::wall_instant()> mWallNow; ///< Wall clock.
  std::function<void(model::duration)> mSleep;   ///< Waits.
  std::function<std::string()> mNewId;           ///< A name never used before.

  /** Prints a report: a JSON line, or text for people. */
  void Report(const nlohmann::ordered_json& aReport) const;
};

/** The instances that a command is about, without an answer yet. */
struct instance_targets
{
  bool mListAvailable =
    false; ///< False: the platform's list could not be read.
  std::vector<instance_status> mInstances;
};

/** The instances named on the command line, or else those listed. */
instance_targets
FindInstances(const command_context& aContext);

/** Asks each instance for its state. */
std::vector<instance_status>
FetchInstanceStatus(const command_context& aContext,
                    std::vector<instance_status> aTargets);

/** The states as a table for reports. */
nlohmann::ordered_json
ToJson(const std::vector<instance_status>& aInstances);

/**
 * Reads a file.
 * @return Its text, or nothing if it cannot be read; says so on mErr.
 */
std::optional<std::string>
ReadFile(const command_context& aContext, const std::string& aPath);

} // namespace monsooncroft::ctl

#endif
