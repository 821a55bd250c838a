/**
 * @file net_error.h
 * Errors of the network layer.
 */
#ifndef MONSOONCROFT_NET_NET_ERROR_H
#define MONSOONCROFT_NET_NET_ERROR_H

#include <stdexcept>

namespace monsooncroft::net {

/** A listener or a connection could not be set up. */
class net_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace monsooncroft::net

#endif
