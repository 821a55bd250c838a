/**
 * @file command_func.h
 * The commands. Each prints a report and returns the process's exit code.
 */
#ifndef MONSOONCROFT_CTL_COMMAND_FUNC_H
#define MONSOONCROFT_CTL_COMMAND_FUNC_H

#include "ctl/command_type.h"

namespace monsooncroft::ctl {

struct command_context;

exit_code
RunCheck(const command_context& aContext); ///< Validates a manifest file.

exit_code
RunPlan(
  const command_context& aContext); ///< Shows what a manifest would change.

/** Puts a manifest into force; with --wait, blocks until every instance has it
 * in force. */
exit_code
RunApply(const command_context& aContext);

exit_code
RunStatus(
  const command_context& aContext); ///< Prints the status of every instance.

/** Prints the status of all instances whenever it changes, until the timeout.
 */
exit_code
RunWatch(const command_context& aContext);

exit_code
RunQuery(const command_context& aContext); ///< Sends a query.

exit_code
RunExplain(const command_context&
             aContext); ///< Shows a query's routing or a request's timeline.

exit_code
RunSettings(const command_context& aContext); ///< Validates a settings file or
                                              ///< prints the settings page.

exit_code
RunCommand(
  const command_context& aContext); ///< Runs the command named in the options.

} // namespace monsooncroft::ctl

#endif
