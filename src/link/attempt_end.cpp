/**
 * @file attempt_end.cpp
 * Maps the end of an HTTP exchange to the outcome of an attempt.
 */
#include "link/attempt_end_func.h"

#include "link/leaf_codec_func.h"

namespace monsooncroft::link {

namespace {

using model::attempt_outcome;
using net::exchange_error;
using net::send_state;

const char*
Reason(const net::exchange_result& aResult)
{
  switch (aResult.mError) {
    case exchange_error::ConnectRefused:
      return kReasonConnectRefused;
    case exchange_error::ConnectFailed:
      return kReasonConnectFailed;
    case exchange_error::Timeout:
      return kReasonTimedOut;
    case exchange_error::Cancelled:
      return kReasonCancelled;
    case exchange_error::Malformed:
      return kReasonBadReply;
    case exchange_error::None:
    case exchange_error::Closed:
      return kReasonClosed;
  }
  return kReasonClosed;
}

bool
IsFor(const execute_reply& aReply, const execute_request& aRequest)
{
  return aReply.mRequest == aRequest.mRequest &&
         aReply.mAttempt == aRequest.mAttempt &&
         aReply.mShard == aRequest.mShard;
}

exchange_end
ConcludeReply(const execute_request& aRequest,
              const net::http_response& aResponse,
              attempt_end& aEnd)
{
  auto reply = DecodeExecute(aResponse);
  if (!reply || !IsFor(*reply, aRequest)) {
    // The reply may belong to another request, so no later reply on this
    // connection can be trusted either.
    aEnd.mResult.mReason = kReasonBadReply;
    return exchange_end::Broken;
  }
  model::attempt_result& result = aEnd.mResult;
  result.mOutcome = reply->mOutcome;
  result.mSnapshot = reply->mSnapshot;
  result.mReason = std::move(reply->mReason);
  result.mResult = std::move(reply->mResult);
  aEnd.mReport = std::move(reply->mReport);
  const bool ran = result.mOutcome == attempt_outcome::Ok;
  if (ran && result.mSnapshot != aRequest.mSnapshot) {
    result.mOutcome = attempt_outcome::Error;
    result.mReason = kReasonWrongSnapshot;
    result.mResult.clear();
  }
  return exchange_end::Replied;
}

} // namespace

exchange_end
ToExchangeEnd(const net::exchange_result& aResult)
{
  if (aResult.mState == send_state::Replied) {
    return exchange_end::Replied;
  }
  const bool noReply = aResult.mState == send_state::MaybeSent &&
                       aResult.mError == exchange_error::Timeout;
  return noReply ? exchange_end::NoReply : exchange_end::Broken;
}

exchange_end
Conclude(const execute_request& aRequest,
         const net::exchange_result& aResult,
         attempt_end& aEnd)
{
  if (aResult.mState == send_state::Replied) {
    return ConcludeReply(aRequest, aResult.mResponse, aEnd);
  }
  const bool sent = aResult.mState == send_state::MaybeSent;
  aEnd.mResult.mOutcome =
    sent ? attempt_outcome::Lost : attempt_outcome::NotSent;
  aEnd.mResult.mReason = Reason(aResult);
  aEnd.mConnectRefused = aResult.mError == exchange_error::ConnectRefused;
  aEnd.mConnectionDied = sent && aResult.mError == exchange_error::Closed;
  return ToExchangeEnd(aResult);
}

} // namespace monsooncroft::link
