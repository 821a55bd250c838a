/**
 * @file command_func.h
 * The commands; each prints its report and returns its exit code.
 */
#ifndef MONSOONCROFT_CTL_COMMAND_FUNC_H
#define MONSOONCROFT_CTL_COMMAND_FUNC_H

#include "ctl/command_type.h"

namespace monsooncroft::ctl {

struct command_context;

exit_code
RunCheck(const command_context& aContext); ///< Checks a manifest.

exit_code
RunPlan(const command_context& aContext); ///< Shows what would change.

/** Puts a manifest into force; waits for the instances if asked to. */
exit_code
RunApply(const command_context& aContext);

exit_code
RunStatus(const command_context& aContext); ///< Shows every instance once.

/** Shows every change of the instances until the timeout. */
exit_code
RunWatch(const command_context& aContext);

exit_code
RunQuery(const command_context& aContext); ///< Asks a query.

exit_code
RunExplain(const command_context& aContext); ///< Shows a query's routing.

exit_code
RunSettings(const command_context& aContext); ///< Checks settings.

exit_code
RunCommand(const command_context& aContext); ///< Whichever was asked for.

} // namespace monsooncroft::ctl

#endif
