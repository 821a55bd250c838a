/**
 * @file config_error_type.h
 * What is wrong with a declared text, and the result of reading one.
 */
#ifndef MONSOONCROFT_CONFIG_CONFIG_ERROR_TYPE_H
#define MONSOONCROFT_CONFIG_CONFIG_ERROR_TYPE_H

#include <boost/outcome.hpp>

#include <string>
#include <vector>

namespace monsooncroft::config {

/** One fault of a text. */
struct config_error
{
  std::string mPath;    ///< JSON pointer; empty means the whole text.
  std::string mFound;   ///< What stands there, shortened.
  std::string mAllowed; ///< What may stand there.

  bool operator==(const config_error&) const = default;
};

using config_errors = std::vector<config_error>;

/** A value, or every fault that was found; never both. */
template<class T>
using result = boost::outcome_v2::unchecked<T, config_errors>;

/**
 * One line for people.
 * @param aError The fault.
 * @return Such as "/tenants/0/weight: found 0, allowed: more than 0".
 */
std::string
ToString(const config_error& aError);

} // namespace monsooncroft::config

#endif
