/**
 * @file leaf_attempt_type.h
 * One sending of a request to one leaf.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_ATTEMPT_TYPE_H
#define MONSOONCROFT_GATEWAY_LEAF_ATTEMPT_TYPE_H

#include "gateway/http_message_type.h"
#include "model/time_type.h"
#include "once/request_key_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace monsooncroft::gateway {

/** How an attempt ended. */
enum class attempt_end : std::uint8_t
{
  Answered,       ///< The leaf's own answer, whole and for this request.
  NotRun,         ///< The leaf says that it did not run the request.
  NotSent,        ///< No byte of it left this instance.
  OutcomeUnknown, ///< It may have run; there is no usable answer.
};

/** The end of an attempt with what the leaf said. */
struct attempt_result
{
  attempt_end mEnd = attempt_end::NotSent;
  http_message mAnswer;        ///< For Answered and NotRun.
  const char* mReason = "";    ///< For logs, in few words.
  model::instant mArrivedAt{}; ///< Of the answer, if there is one.
};

class leaf_attempt;

/** Who hears of the end of an attempt. */
class attempt_observer
{
public:
  attempt_observer() = default;
  virtual ~attempt_observer() = default;
  attempt_observer(const attempt_observer&) = delete;
  attempt_observer& operator=(const attempt_observer&) = delete;
  attempt_observer(attempt_observer&&) = delete;
  attempt_observer& operator=(attempt_observer&&) = delete;

  virtual void OnAttemptEnd(leaf_attempt& aAttempt, attempt_result aResult) = 0;
};

/** What is common to all attempts of a request. */
struct leaf_request
{
  std::string mHead; ///< Request line and fields, without the closing line.
  std::string mBody;
  std::string mRequestId;
  bool mNoBodyExpected = false;    ///< HEAD.
  once::content_hash mContentHash; ///< The same for each time that it is asked.
};

/** Shared by the leaf's link and the request that it serves. */
class leaf_attempt
{
public:
  std::shared_ptr<const leaf_request> mRequest;
  std::shared_ptr<attempt_observer> mObserver; ///< Null once nobody waits.
  std::size_t mShardIndex = 0; ///< Shard's place in the request.
  model::instant mAnswerBy;    ///< Its caller's aim: the earliest goes first.
  model::instant mDeadline;    ///< Nobody waits longer.
  model::duration mRouteMeanLatency{ 0 }; ///< The route's mean.
  std::string mLeafId;                    ///< Its id.
  model::instant mQueuedAt;               ///< When it was handed to the leaf.
  std::optional<model::instant> mSentAt;  ///< When its bytes left.
  std::optional<model::instant> mAbandonedAt; ///< Since when nobody waits.

  /** Nobody waits any more; its link is closed if the answer takes longer. */
  void Abandon(model::instant aNow)
  {
    mObserver.reset();
    mAbandonedAt = aNow;
  }
  void End(attempt_result aResult)
  {
    if (mObserver) {
      const auto observer = std::move(mObserver);
      mObserver.reset();
      observer->OnAttemptEnd(*this, std::move(aResult));
    }
  }
};

using leaf_attempt_ptr = std::shared_ptr<leaf_attempt>;

} // namespace monsooncroft::gateway

#endif
