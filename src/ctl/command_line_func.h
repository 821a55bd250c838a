/**
 * @file command_line_func.h
 * Parses the command line.
 */
#ifndef MONSOONCROFT_CTL_COMMAND_LINE_FUNC_H
#define MONSOONCROFT_CTL_COMMAND_LINE_FUNC_H

#include "ctl/command_type.h"

#include <variant>

namespace monsooncroft::ctl {

/**
 * Parses the command line; prints help, or an error message if it is invalid.
 * @param aCount Number of arguments, as in main().
 * @param aArguments Program name and arguments, as in main().
 * @return The options, or an exit code if the process ends without running a
 * command.
 */
std::variant<command_options, exit_code>
ParseCommandLine(int aCount, char** aArguments);

} // namespace monsooncroft::ctl

#endif
