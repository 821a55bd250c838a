/**
 * @file answer_matcher.cpp
 * Matches the answers read on a connection to the requests sent on it.
 */
#include "gateway/answer_matcher_base.h"

#include "gateway/leaf_attempt_type.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Answers to other requests that are skipped before a connection is closed. */
constexpr int kMaxSkippedAnswers = 4;
/** Interim answers (1xx) that are skipped before a connection is closed. */
constexpr int kMaxInterimAnswers = 16;
/** Another leaf has the address and did not run the request. */
constexpr int kMisdirectedStatus = 421;

} // namespace

bool
answer_matcher::MayCarry(
  const std::shared_ptr<const leaf_request>& aRequest) const
{
  if (mRefusedWithoutId && aRequest->mRunOnce) {
    return false;
  }
  return std::none_of(
    mCarried.begin(), mCarried.end(), [&](const auto& aCarried) {
      return aCarried.lock() == aRequest;
    });
}

void
answer_matcher::OnSend(const std::shared_ptr<const leaf_request>& aRequest)
{
  std::erase_if(mCarried,
                [](const auto& aCarried) { return aCarried.expired(); });
  mCarried.push_back(aRequest);
  mRequest = aRequest;
  mSkippedAnswers = 0;
  mInterimAnswers = 0;
}

answer_match
answer_matcher::OnAnswer(const answer_identity& aAnswer)
{
  if (aAnswer.mStatus / 100 == 1) {
    return ++mInterimAnswers > kMaxInterimAnswers ? answer_match::Excess
                                                  : answer_match::Interim;
  }
  const bool namesRequest = aAnswer.mRequestId != nullptr;
  if (namesRequest && *aAnswer.mRequestId != mRequest->mRequestId) {
    mReusable = false;
    return ++mSkippedAnswers > kMaxSkippedAnswers ? answer_match::Excess
                                                  : answer_match::Foreign;
  }
  // The execution may go on and send the request elsewhere.
  mRequest.reset();
  if (aAnswer.mSaysNotRun || aAnswer.mStatus == kMisdirectedStatus) {
    return OnRefusal(namesRequest);
  }
  // What names no request may be a copy, with the answer to follow.
  mReusable = mReusable && namesRequest;
  return namesRequest ? answer_match::Answered : answer_match::Unidentified;
}

answer_match
answer_matcher::OnRefusal(bool aNamesRequest)
{
  if (aNamesRequest) {
    return answer_match::Refused;
  }
  // The first unnamed refusal cannot be a copy of an earlier one.
  const bool isFirst = !mRefusedWithoutId;
  mRefusedWithoutId = true;
  return isFirst ? answer_match::Refused : answer_match::AmbiguousRefusal;
}

} // namespace monsooncroft::gateway
