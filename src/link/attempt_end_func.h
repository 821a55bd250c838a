/**
 * @file attempt_end_func.h
 * Maps the end of an HTTP exchange to the outcome of an attempt.
 */
#ifndef MONSOONCROFT_LINK_ATTEMPT_END_FUNC_H
#define MONSOONCROFT_LINK_ATTEMPT_END_FUNC_H

#include "link/leaf_client_base.h"
#include "net/http_type.h"

namespace monsooncroft::link {

/** Returns how an exchange of any kind ended for its connection. */
exchange_end
ToExchangeEnd(const net::exchange_result& aResult);

/**
 * Determines the outcome of an attempt. A reply is accepted only if it is
 * complete and carries the ids of this attempt; without such a reply, an
 * attempt that may have been sent is Lost.
 * @param aRequest The attempt as sent.
 * @param aResult Result of its HTTP exchange.
 * @param aEnd Receives the outcome.
 * @return How the exchange ended for its connection.
 */
exchange_end
Conclude(const execute_request& aRequest,
         const net::exchange_result& aResult,
         attempt_end& aEnd);

} // namespace monsooncroft::link

#endif
