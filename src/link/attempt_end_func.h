/**
 * @file attempt_end_func.h
 * From the end of an exchange to the end of an attempt.
 */
#ifndef MONSOONCROFT_LINK_ATTEMPT_END_FUNC_H
#define MONSOONCROFT_LINK_ATTEMPT_END_FUNC_H

#include "link/leaf_client_base.h"
#include "net/http_type.h"

namespace monsooncroft::link {

/** What the end of any exchange says about its connection. */
exchange_end
ToExchangeEnd(const net::exchange_result& aResult);

/**
 * Concludes an attempt. A reply counts only if it is whole and names this
 * attempt; anything else that may have been sent is Lost.
 * @param aRequest The attempt as sent.
 * @param aResult How its exchange ended.
 * @param aEnd Gets the outcome.
 * @return What it says about the connection.
 */
exchange_end
Conclude(const execute_request& aRequest,
         const net::exchange_result& aResult,
         attempt_end& aEnd);

} // namespace monsooncroft::link

#endif
