/**
 * @file leaf_link.cpp
 * One connection to a leaf.
 */
#include "gateway/leaf_link_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/header_names_type.h"
#include "gateway/leaf_peer_base.h"
#include "gateway/tcp_stream_base.h"

#include <algorithm>
#include <charconv>

namespace monsooncroft::gateway {

namespace {

/** A leaf that takes longer to accept is as good as gone for a request. */
constexpr std::chrono::milliseconds kConnectTimeout{ 600 };
/** An attempt that nobody waits for may end by itself for so long: a new
 * connection would cost the leaf a slot. Below the half second after which a
 * leaf must not work for a caller that has left. */
constexpr std::chrono::milliseconds kAbandonGrace{ 280 };
/** A leaf at its limit resets a new connection within a round trip; what ends
 * later has not met the limit. */
constexpr std::chrono::milliseconds kCapNotice{ 1'000 };
/** Closed so long before the leaf's own idle timeout. */
constexpr std::chrono::milliseconds kIdleMargin{ 400 };
constexpr int kServerFailures = 500; ///< Statuses from here on.
/** Answers to other requests that are passed over on one connection. */
constexpr int kMostSkipped = 4;
/** Largest answer that is taken in; above the largest that leaves give. */
constexpr std::size_t kMostAnswerBytes = 4U << 20U;
constexpr std::size_t kMostAnswerHead = 65'536;

} // namespace

leaf_link::leaf_link(event_loop& aLoop,
                     leaf_peer& aLeaf,
                     const model::endpoint& aAddress,
                     const header_names& aNames)
  : mLoop(aLoop)
  , mLeaf(aLeaf)
  , mNames(aNames)
  , mReader(http_reader::role::Responses)
  , mSince(event_loop::Now())
{
  mReader.SetLimits(kMostAnswerHead, kMostAnswerBytes);
  mStream = tcp_stream::Connect(aLoop, aAddress, *this);
  if (!mStream) {
    mLoop.Defer([leaf = &mLeaf, this] {
      if (leaf->Has(*this)) {
        OnConnected(false);
      }
    });
  }
}

leaf_link::~leaf_link() = default;

void
leaf_link::OnConnected(bool aSuccess)
{
  const model::instant now = event_loop::Now();
  if (!aSuccess) {
    Close(attempt_end::NotSent, "connection refused");
    return;
  }
  const auto roundTrip = now - mSince;
  mState = state::Idle;
  mSince = now;
  mConnected = now;
  mStream->StartReading();
  mLeaf.OnLinkConnected(roundTrip, now);
}

bool
leaf_link::Usable(model::instant aNow) const
{
  return mState == state::Idle &&
         (!mIdleLimit || aNow - mSince < *mIdleLimit - kIdleMargin);
}

void
leaf_link::Send(const leaf_attempt_ptr& aAttempt, model::instant aNow)
{
  mAttempt = aAttempt;
  // Many sends in one go take time on a slow machine.
  mAttempt->mSent = event_loop::Now();
  mState = state::Busy;
  mSince = aNow;
  mSkipped = 0;
  mReader.ExpectNoBody(aAttempt->mText->mNoBodyExpected);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAttempt->mDeadline - aNow);
  const request_text& text = *aAttempt->mText;
  std::string bytes;
  bytes.reserve(text.mHead.size() + text.mBody.size() + 128);
  bytes.append(text.mHead);
  bytes.append(mNames.mRemainingMs).append(": ");
  bytes.append(std::to_string(std::max<long>(1, left.count())));
  bytes.append("\r\n").append(mNames.mExpectedLeaf).append(": ");
  bytes.append(aAttempt->mLeaf).append("\r\n\r\n").append(text.mBody);
  mStream->Write(std::move(bytes));
}

void
leaf_link::OnBytes(std::string_view aBytes)
{
  if (mState != state::Busy) {
    // Bytes that nobody asked for make all that follows doubtful.
    Close(attempt_end::Lost, "bytes without a request");
    return;
  }
  mServed = true;
  ReadOn(aBytes);
}

void
leaf_link::ReadOn(std::string_view aBytes)
{
  while (!aBytes.empty() && mState == state::Busy) {
    aBytes.remove_prefix(mReader.Feed(aBytes));
    if (mReader.State() >= http_reader::state::Malformed) {
      Close(attempt_end::Lost, "malformed answer");
      return;
    }
    if (mReader.State() != http_reader::state::Complete) {
      return;
    }
    const bool further = !aBytes.empty();
    const int skipped = mSkipped;
    const int status = mReader.Message().mStatus;
    if (further && status / 100 != 1) {
      mReader.Message().mKeepAlive = false;
    }
    OnMessage();
    if (mState == state::Busy && skipped == mSkipped && status / 100 != 1) {
      return;
    }
  }
}

void
leaf_link::OnMessage()
{
  http_message answer = std::move(mReader.Message());
  mReader.Next();
  if (answer.mStatus / 100 == 1) {
    return;
  }
  const std::string* id = answer.Find(mNames.mRequestId);
  if (id != nullptr && *id != mAttempt->mText->mRequestId) {
    // The late answer to an earlier request; the awaited one may follow.
    if (++mSkipped > kMostSkipped) {
      Close(attempt_end::Lost, "answers to other requests");
    } else {
      mReader.ExpectNoBody(mAttempt->mText->mNoBodyExpected);
    }
    return;
  }
  NoteKeepAlive(answer);
  const bool reusable =
    answer.mKeepAlive && mSkipped == 0 && mStream->Pending() == 0;
  const bool misdirected = answer.mStatus == 421;
  attempt_result result;
  result.mEnd = attempt_end::Answered;
  if (misdirected || answer.Find(mNames.mNotRun) != nullptr) {
    result.mEnd = attempt_end::NotRun;
    result.mReason = misdirected ? "another leaf" : "refused by the leaf";
  } else if (id == nullptr) {
    result.mEnd = attempt_end::Lost;
    result.mReason = "answer without the request's id";
  } else if (answer.Find("Content-Encoding") != nullptr) {
    result.mEnd = attempt_end::Lost;
    result.mReason = "encoded answer";
  }
  result.mArrived = std::max(mLoop.Arrived(), *mAttempt->mSent);
  const bool useful =
    result.mEnd == attempt_end::Answered && answer.mStatus < kServerFailures;
  result.mAnswer = std::move(answer);
  if (misdirected) {
    mLeaf.OnMisdirected();
  }
  const leaf_attempt_ptr attempt = std::move(mAttempt);
  mAttempt = nullptr;
  mState = state::Idle;
  mSince = event_loop::Now();
  mLeaf.OnAttemptDone(*attempt, { result.mEnd, useful, result.mArrived });
  if (!reusable) {
    Close(attempt_end::Lost, "not to be used again");
  }
  attempt->End(std::move(result));
  mLeaf.Dispatch(event_loop::Now());
}

void
leaf_link::NoteKeepAlive(const http_message& aAnswer)
{
  const std::string* value = aAnswer.Find("Keep-Alive");
  if (value == nullptr) {
    return;
  }
  const auto at = value->find("timeout=");
  int seconds = 0;
  if (at != std::string::npos && std::from_chars(value->data() + at + 8,
                                                 value->data() + value->size(),
                                                 seconds)
                                     .ec == std::errc()) {
    mIdleLimit = std::chrono::seconds(seconds);
  }
}

void
leaf_link::OnEnd(stream_end aEnd)
{
  if (mState == state::Busy && aEnd == stream_end::Finished) {
    mReader.FeedEnd();
    if (mReader.State() == http_reader::state::Complete) {
      mReader.Message().mKeepAlive = false;
      OnMessage();
      if (mState == state::Closed) {
        return;
      }
    }
  }
  if (mAttempt) {
    mLeaf.OnDiedWith(*mAttempt, event_loop::Now());
  }
  Close(attempt_end::Lost,
        aEnd == stream_end::Finished ? "closed by the leaf" : "reset");
}

void
leaf_link::Close(attempt_end aEnd, const char* aReason)
{
  if (mState == state::Closed) {
    return;
  }
  link_end end = link_end::Ended;
  if (mState == state::Connecting) {
    end = link_end::Refused;
  } else if (aEnd == attempt_end::Lost && !mServed &&
             event_loop::Now() - mConnected < kCapNotice) {
    end = link_end::Capped;
  } else if (aEnd == attempt_end::Lost && mState == state::Idle) {
    end = link_end::Rested;
  }
  mState = state::Closed;
  mSince = event_loop::Now();
  const leaf_attempt_ptr attempt = std::move(mAttempt);
  mAttempt = nullptr;
  if (attempt && mStream) {
    mStream->Reset();
  }
  mStream.reset(); // Safe within its own callback.
  if (attempt) {
    mLeaf.OnAttemptDone(*attempt, { aEnd, false, mSince });
  }
  mLeaf.OnLinkClosed(*this, end, aReason);
  if (attempt) {
    attempt->End({ aEnd, {}, aReason });
  }
}

void
leaf_link::OnTick(model::instant aNow)
{
  switch (mState) {
    case state::Connecting:
      if (aNow - mSince > kConnectTimeout) {
        Close(attempt_end::NotSent, "connecting took too long");
      }
      return;
    case state::Idle:
      if (mIdleLimit && aNow - mSince >= *mIdleLimit - kIdleMargin) {
        Close(attempt_end::NotSent, "idle");
      }
      return;
    case state::Busy:
      if (mAttempt->mAbandoned &&
          aNow - *mAttempt->mAbandoned > kAbandonGrace &&
          aNow - mSince > kAbandonGrace) {
        Close(attempt_end::Lost, "nobody waits");
      } else if (aNow > mAttempt->mDeadline + kAbandonGrace) {
        Close(attempt_end::Lost, "no answer");
      }
      return;
    case state::Closed:
      return;
  }
}

} // namespace monsooncroft::gateway
