/**
 * @file config_problem_type.h
 * A malformed entry of the routing configuration.
 */
#ifndef MONSOONCROFT_SERVING_CONFIG_PROBLEM_TYPE_H
#define MONSOONCROFT_SERVING_CONFIG_PROBLEM_TYPE_H

#include <string>

namespace monsooncroft::serving {

/** A malformed entry, which does not invalidate the others. */
struct config_problem
{
  std::string mWhere; ///< Path of the entry.
  std::string mWhat;  ///< What is wrong. Never contains a key.

  bool operator==(const config_problem&) const = default;
};

} // namespace monsooncroft::serving

#endif
