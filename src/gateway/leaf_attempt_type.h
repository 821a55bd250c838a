/**
 * @file leaf_attempt_type.h
 * One attempt to run a request on one leaf.
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
  Answered,       ///< A complete answer of this leaf to this request.
  NotRun,         ///< The leaf reports that it did not run the request.
  NotSent,        ///< No byte of it left this instance.
  OutcomeUnknown, ///< The request may have run; there is no usable answer.
};

/** How an attempt ended, with the leaf's answer. */
struct attempt_result
{
  attempt_end mEnd = attempt_end::NotSent;
  http_message mAnswer;        ///< For Answered and NotRun.
  const char* mReason = "";    ///< Short text for logs and metrics.
  model::instant mArrivedAt{}; ///< Arrival time of the answer, if there is one.
};

class leaf_attempt;

/** Is notified when an attempt ends. */
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
  /** The attempt's leaf limits its rate, and there is a permit for it. */
  virtual void OnAttemptAdmitted(leaf_attempt& aAttempt) = 0;
  /** Permits without which the request fails, of those that it waits for. */
  virtual std::size_t RequiredPermits() const = 0;
};

/** The part of a request that is the same in all attempts. */
struct leaf_request
{
  std::string mHead; ///< Request line and fields, without the final empty line.
  std::string mBody;
  std::string mRequestId;
  std::string mWorkspace;       ///< Name of the caller's workspace, or empty.
  bool mNoBodyExpected = false; ///< The method is HEAD.
  bool mRunOnce = false;        ///< It must not run twice.
  /** The same whenever the same query is sent. */
  once::content_hash mContentHash;
};

/** Shared by the leaf's connection and the request. */
class leaf_attempt
{
public:
  std::shared_ptr<const leaf_request> mRequest;
  /** Null after the attempt is abandoned. */
  std::shared_ptr<attempt_observer> mObserver;
  std::size_t mShardIndex = 0; ///< Index of the shard in the request.
  /** Queued attempts of lower ranks are sent first. */
  int mRank = 0;
  /** Target time of the answer; within a rank, attempts of one workspace are
   * sent earliest first. */
  model::instant mAnswerBy;
  model::instant mDeadline;               ///< The caller waits no longer.
  model::duration mRouteMeanLatency{ 0 }; ///< Mean latency of the route.
  std::string mLeafId;                    ///< Id of the leaf.
  /** When the attempt was queued for the leaf. */
  model::instant mQueuedAt;
  /** When the request was written to a connection. */
  std::optional<model::instant> mSentAt;
  /** When the attempt was abandoned. */
  std::optional<model::instant> mAbandonedAt;

  /** Drops the observer; the connection is closed if no answer arrives within a
   * grace period. */
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
