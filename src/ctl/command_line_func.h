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
 * Parses the command line; prints help and what is wrong.
 * @param aCount As main's.
 * @param aArguments As main's.
 * @return The options, or the exit code to end with.
 */
std::variant<command_options, exit_code>
ParseCommandLine(int aCount, char** aArguments);

} // namespace monsooncroft::ctl

#endif
