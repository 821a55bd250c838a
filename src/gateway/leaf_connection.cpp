/**
 * @file leaf_connection.cpp
 * One connection to a leaf.
 */
#include "gateway/leaf_connection_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/header_names_type.h"
#include "gateway/leaf_endpoint_base.h"
#include "gateway/tcp_stream_base.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsooncroft::gateway {

namespace {

/** A leaf that takes longer to accept cannot answer a request in time. */
constexpr std::chrono::milliseconds kConnectTimeout{ 600 };
/** Grace period for an abandoned attempt to complete: closing its connection
 * and opening a new one would cost the leaf a slot. Below the half second after
 * which a leaf must not work for a caller that has left. */
constexpr std::chrono::milliseconds kAbandonGrace{ 280 };
/** A leaf at its connection limit resets a new connection within a round trip;
 * a connection that ends later did not exceed the limit. */
constexpr std::chrono::milliseconds kLimitResetWindow{ 1'000 };
/** Time before the leaf's idle timeout at which this side closes. */
constexpr std::chrono::milliseconds kIdleMargin{ 400 };
/** Lowest status that counts as a failure. */
constexpr int kFirstServerErrorStatus = 500;
/** Largest accepted answer body; above the largest that leaves send. */
constexpr std::size_t kMaxAnswerBodyBytes = 4U << 20U;
constexpr std::size_t kMaxAnswerHeadBytes = 65'536;

} // namespace

leaf_connection::leaf_connection(event_loop& aLoop,
                                 leaf_endpoint& aLeaf,
                                 const model::endpoint& aAddress,
                                 const header_names& aHeaderNames)
  : mLoop(aLoop)
  , mLeaf(aLeaf)
  , mHeaderNames(aHeaderNames)
  , mReader(http_reader::role::Responses)
  , mStateSince(event_loop::Now())
{
  mReader.SetLimits(kMaxAnswerHeadBytes, kMaxAnswerBodyBytes);
  mStream = tcp_stream::Connect(aLoop, aAddress, *this);
  if (!mStream) {
    mLoop.Defer([leaf = &mLeaf, this] {
      if (leaf->HasConnection(*this)) {
        OnConnected(false);
      }
    });
  }
}

leaf_connection::~leaf_connection() = default;

void
leaf_connection::OnConnected(bool aSuccess)
{
  const model::instant now = event_loop::Now();
  if (!aSuccess) {
    Close(attempt_end::NotSent, "connection refused");
    return;
  }
  const auto roundTrip = now - mStateSince;
  mState = state::Idle;
  mStateSince = now;
  mConnectedAt = now;
  mStream->StartReading();
  mLeaf.OnConnectionEstablished(roundTrip, now);
}

bool
leaf_connection::Usable(model::instant aNow) const
{
  return mState == state::Idle &&
         (!mIdleTimeout || aNow - mStateSince < *mIdleTimeout - kIdleMargin);
}

void
leaf_connection::Send(const leaf_attempt_ptr& aAttempt, model::instant aNow)
{
  mAttempt = aAttempt;
  mMatcher.OnSend(aAttempt->mRequest);
  // Not aNow: sending many requests in one iteration takes time on a slow
  // machine.
  mAttempt->mSentAt = event_loop::Now();
  mState = state::Busy;
  mStateSince = aNow;
  mReader.ExpectNoBody(aAttempt->mRequest->mNoBodyExpected);
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAttempt->mDeadline - aNow);
  const leaf_request& text = *aAttempt->mRequest;
  std::string bytes;
  bytes.reserve(text.mHead.size() + text.mBody.size() + 128);
  bytes.append(text.mHead);
  bytes.append(mHeaderNames.mRemainingMs).append(": ");
  bytes.append(std::to_string(std::max<long>(1, remaining.count())));
  bytes.append("\r\n").append(mHeaderNames.mExpectedLeaf).append(": ");
  bytes.append(aAttempt->mLeafId).append("\r\n\r\n").append(text.mBody);
  mStream->Write(std::move(bytes));
}

attempt_result
leaf_connection::Judge(answer_match aMatch, const http_message& aAnswer)
{
  attempt_result result;
  switch (aMatch) {
    case answer_match::Refused:
      result.mEnd = attempt_end::NotRun;
      result.mReason =
        aAnswer.mStatus == 421 ? "another leaf" : "refused by the leaf";
      break;
    case answer_match::AmbiguousRefusal:
      result.mEnd = attempt_end::OutcomeUnknown;
      result.mReason = "refusal without the request's id";
      break;
    case answer_match::Answered:
      result.mEnd = attempt_end::Answered;
      if (aAnswer.Find("Content-Encoding") != nullptr) {
        result.mEnd = attempt_end::OutcomeUnknown;
        result.mReason = "encoded answer";
      }
      break;
    default:
      result.mEnd = attempt_end::OutcomeUnknown;
      result.mReason = "answer without the request's id";
      break;
  }
  return result;
}

void
leaf_connection::OnBytes(std::string_view aBytes)
{
  if (mState != state::Busy) {
    // After unsolicited bytes, later answers cannot be matched to requests.
    Close(attempt_end::OutcomeUnknown, "bytes without a request");
    return;
  }
  mReceivedBytes = true;
  ParseAnswers(aBytes);
}

void
leaf_connection::ParseAnswers(std::string_view aBytes)
{
  while (!aBytes.empty() && mState == state::Busy) {
    aBytes.remove_prefix(mReader.Feed(aBytes));
    if (mReader.State() >= http_reader::state::Malformed) {
      mLeaf.OnAnswerMalformed(mAttempt->mRequest->mRequestId, mReader.Defect());
      Close(attempt_end::OutcomeUnknown, "malformed answer");
      return;
    }
    if (mReader.HeadIsFinal()) {
      ReadNotices();
    }
    if (mReader.State() != http_reader::state::Complete) {
      return;
    }
    const bool hasMoreBytes = !aBytes.empty();
    if (hasMoreBytes && mReader.Message().mStatus / 100 != 1) {
      mReader.Message().mKeepAlive = false;
    }
    if (OnMessage()) {
      return;
    }
  }
}

bool
leaf_connection::OnMessage()
{
  http_message answer = std::move(mReader.Message());
  mReader.NextMessage();
  mNoticesRead = false;
  const answer_match match =
    mMatcher.OnAnswer({ answer.mStatus,
                        answer.Find(mHeaderNames.mRequestId),
                        answer.Find(mHeaderNames.mNotRun) != nullptr });
  switch (match) {
    case answer_match::Interim:
    case answer_match::Foreign:
      mReader.ExpectNoBody(mAttempt->mRequest->mNoBodyExpected);
      return false;
    case answer_match::Excess:
      Close(attempt_end::OutcomeUnknown, "answers without end");
      return false;
    default:
      break;
  }
  ReadKeepAliveTimeout(answer);
  ReadRateLimit(answer);
  const bool reusable =
    answer.mKeepAlive && mMatcher.Reusable() && mStream->PendingBytes() == 0;
  const bool misdirected = answer.mStatus == 421;
  attempt_result result = Judge(match, answer);
  result.mArrivedAt = std::max(mLoop.ArrivedAt(), *mAttempt->mSentAt);
  const bool succeeded = result.mEnd == attempt_end::Answered &&
                         answer.mStatus < kFirstServerErrorStatus;
  result.mAnswer = std::move(answer);
  if (misdirected) {
    mLeaf.OnMisdirected();
  }
  const leaf_attempt_ptr attempt = std::move(mAttempt);
  mAttempt = nullptr;
  mState = state::Idle;
  mStateSince = event_loop::Now();
  mLeaf.OnAttemptDone(*attempt, { result.mEnd, succeeded, result.mArrivedAt });
  if (!reusable) {
    Close(attempt_end::OutcomeUnknown, "not to be used again");
  }
  attempt->End(std::move(result));
  mLeaf.Dispatch(event_loop::Now());
  return true;
}

void
leaf_connection::ReadNotices()
{
  const http_message& head = mReader.Message();
  // 421: another leaf has this address.
  if (mNoticesRead || head.mStatus == 421) {
    return;
  }
  mNoticesRead = true;
  if (const std::string* value = head.Find(mHeaderNames.mLeaving)) {
    mLeaf.OnLeavingNotice(*value);
  }
  const std::string* pause =
    head.mStatus == 503 ? head.Find("Retry-After") : nullptr;
  if (pause != nullptr) {
    mLeaf.OnPauseNotice(*pause);
  }
}

void
leaf_connection::ReadNoticesOfCutOffAnswer()
{
  if (mReader.State() == http_reader::state::Body) {
    ReadNotices();
  }
}

void
leaf_connection::ReadKeepAliveTimeout(const http_message& aAnswer)
{
  const std::string* value = aAnswer.Find("Keep-Alive");
  if (value == nullptr) {
    return;
  }
  const auto position = value->find("timeout=");
  int seconds = 0;
  if (position != std::string::npos &&
      std::from_chars(
        value->data() + position + 8, value->data() + value->size(), seconds)
          .ec == std::errc()) {
    mIdleTimeout = std::chrono::seconds(seconds);
  }
}

void
leaf_connection::ReadRateLimit(const http_message& aAnswer)
{
  const std::string* value = aAnswer.Find(mHeaderNames.mRateLimit);
  double perSecond = 0;
  if (value != nullptr) {
    const auto parsed =
      std::from_chars(value->data(), value->data() + value->size(), perSecond);
    if (parsed.ec != std::errc() || !std::isfinite(perSecond) ||
        perSecond <= 0) {
      mLeaf.OnRateLimitMalformed(*value);
      return;
    }
    mLeaf.OnRateLimit(perSecond);
    return;
  }
  // A refusal need not repeat the limit.
  const bool ran =
    aAnswer.Find(mHeaderNames.mNotRun) == nullptr && aAnswer.mStatus / 100 == 2;
  if (ran) {
    mLeaf.OnRateLimit(std::nullopt);
  }
}

void
leaf_connection::OnEnd(stream_end aEnd)
{
  if (mState == state::Busy && aEnd == stream_end::Finished) {
    mReader.FeedEof();
    if (mReader.State() == http_reader::state::Complete) {
      mReader.Message().mKeepAlive = false;
      OnMessage();
      if (mState == state::Closed) {
        return;
      }
    }
  }
  ReadNoticesOfCutOffAnswer();
  if (mAttempt) {
    mLeaf.OnConnectionLostInFlight(*mAttempt, event_loop::Now());
  }
  Close(attempt_end::OutcomeUnknown,
        aEnd == stream_end::Finished ? "closed by the leaf" : "reset");
}

void
leaf_connection::Close(attempt_end aEnd, const char* aReason)
{
  if (mState == state::Closed) {
    return;
  }
  connection_end end = connection_end::Ended;
  if (mState == state::Connecting) {
    end = connection_end::Refused;
  } else if (aEnd == attempt_end::OutcomeUnknown && !mReceivedBytes &&
             event_loop::Now() - mConnectedAt < kLimitResetWindow) {
    end = connection_end::LimitReached;
  } else if (aEnd == attempt_end::OutcomeUnknown && mState == state::Idle) {
    end = connection_end::IdleTimeout;
  }
  mState = state::Closed;
  mStateSince = event_loop::Now();
  const leaf_attempt_ptr attempt = std::move(mAttempt);
  mAttempt = nullptr;
  if (attempt && mStream) {
    mStream->ResetOnClose();
  }
  mStream.reset(); // Safe within the stream's own callback.
  if (attempt) {
    mLeaf.OnAttemptDone(*attempt, { aEnd, false, mStateSince });
  }
  mLeaf.OnConnectionClosed(*this, end, aReason);
  if (attempt) {
    attempt->End({ aEnd, {}, aReason });
  }
}

void
leaf_connection::OnTick(model::instant aNow)
{
  switch (mState) {
    case state::Connecting:
      if (aNow - mStateSince > kConnectTimeout) {
        Close(attempt_end::NotSent, "connecting took too long");
      }
      return;
    case state::Idle:
      if (mIdleTimeout && aNow - mStateSince >= *mIdleTimeout - kIdleMargin) {
        Close(attempt_end::NotSent, "idle");
      }
      return;
    case state::Busy:
      if (mAttempt->mAbandonedAt &&
          aNow - *mAttempt->mAbandonedAt > kAbandonGrace &&
          aNow - mStateSince > kAbandonGrace) {
        ReadNoticesOfCutOffAnswer();
        Close(attempt_end::OutcomeUnknown, "nobody waits");
      } else if (aNow > mAttempt->mDeadline + kAbandonGrace) {
        ReadNoticesOfCutOffAnswer();
        Close(attempt_end::OutcomeUnknown, "no answer");
      }
      return;
    case state::Closed:
      return;
  }
}

} // namespace monsooncroft::gateway
