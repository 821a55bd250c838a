/**
 * @file peer_error.h
 * Errors between instances.
 */
#ifndef MONSOONCROFT_PEER_PEER_ERROR_H
#define MONSOONCROFT_PEER_PEER_ERROR_H

#include <stdexcept>

namespace monsooncroft::peer {

/** A peer gave no answer or an error. */
class peer_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace monsooncroft::peer

#endif
