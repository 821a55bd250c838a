/**
 * @file entry_error.h
 * Errors of an instance as a whole.
 */
#ifndef MONSOONCROFT_ENTRY_ENTRY_ERROR_H
#define MONSOONCROFT_ENTRY_ENTRY_ERROR_H

#include <stdexcept>

namespace monsooncroft::entry {

/** The instance could not start; the nested error says why. */
class entry_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace monsooncroft::entry

#endif
