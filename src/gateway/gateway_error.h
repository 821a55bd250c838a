/**
 * @file gateway_error.h
 * Errors of the data path's sockets.
 */
#ifndef MONSOONCROFT_GATEWAY_GATEWAY_ERROR_H
#define MONSOONCROFT_GATEWAY_GATEWAY_ERROR_H

#include <stdexcept>

namespace monsooncroft::gateway {

/** A socket cannot be set up; the message names the address and the cause. */
class gateway_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace monsooncroft::gateway

#endif
