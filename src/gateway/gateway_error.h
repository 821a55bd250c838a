/**
 * @file gateway_error.h
 * Error type of socket setup.
 */
#ifndef MONSOONCROFT_GATEWAY_GATEWAY_ERROR_H
#define MONSOONCROFT_GATEWAY_GATEWAY_ERROR_H

#include <stdexcept>

namespace monsooncroft::gateway {

/** Thrown if a socket cannot be set up; the message names the address and the
 * cause. */
class gateway_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace monsooncroft::gateway

#endif
