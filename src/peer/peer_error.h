/**
 * @file peer_error.h
 * Errors of calls between entry instances.
 */
#ifndef MONSOONCROFT_PEER_PEER_ERROR_H
#define MONSOONCROFT_PEER_PEER_ERROR_H

#include <stdexcept>

namespace monsooncroft::peer {

/** A peer returned an error or did not respond. */
class peer_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace monsooncroft::peer

#endif
