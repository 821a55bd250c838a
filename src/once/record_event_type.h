/**
 * @file record_event_type.h
 * Events that a record keeper handles and effects that it requests.
 */
#ifndef MONSOONCROFT_ONCE_RECORD_EVENT_TYPE_H
#define MONSOONCROFT_ONCE_RECORD_EVENT_TYPE_H

#include "once/record_type.h"

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::once {

/** Both clocks, read at the same time and after the event arrived. */
struct clock_reading
{
  model::instant mNow;
  model::wall_instant mWall;
};

/** A request to be recorded and then run. */
struct offer
{
  request_hash mRequest;
  model::wall_instant mIssuedAt;
  model::instant
    mDeadline; ///< Time after which a Dispatch verdict is of no use.
};

/** Result of a read of the bucket. */
struct read_result
{
  bool mAvailable = false; ///< False if no answer or an error arrived.
  revision mRevision = 0;  ///< 0 if the key is absent.
  std::string mValue;      ///< Empty if the key is absent.
};

/** Outcome of a compare-and-swap. */
enum class cas_outcome
{
  Stored,     ///< The write took effect.
  Conflict,   ///< The key had another revision; the write never takes effect.
  Ambiguous,  ///< No answer; the write may have taken or may yet take effect.
  NotApplied, ///< Not sent, or refused; the write never takes effect.
};

/** Result of a compare-and-swap. */
struct cas_result
{
  cas_outcome mOutcome = cas_outcome::Ambiguous;
  revision mRevision = 0; ///< New revision of the key if mOutcome is Stored.
};

/** A compare-and-swap to perform. */
struct cas_request
{
  revision mExpectedRevision = 0;
  std::string mValue;
};

/** Decision on an offered request. */
enum class verdict_kind
{
  Dispatch,  ///< Recorded by this incarnation: run the request within the
             ///< permit.
  OwnedHere, ///< This incarnation is running or has run the request: the answer
             ///< cache has the answer, or the outcome is unknown.
  OwnedElsewhere, ///< Another incarnation recorded the request, and only it
                  ///< knows the answer; the outcome is unknown if it cannot be
                  ///< asked.
  NotRun,         ///< Proved that no send of this request has run.
  Unproven, ///< This send does not run, but an earlier send of the same request
            ///< may have run; status not run only for a first send.
};

/** Permission to send a recorded request; checked by MaySend. */
struct send_permit
{
  model::instant mExpiresAt;
  model::wall_instant mExpiresAtWall;
};

/** The only verdict on an offer. */
struct verdict
{
  request_hash mRequest;
  verdict_kind mKind = verdict_kind::Unproven;
  send_permit mPermit; ///< Permit if mKind is Dispatch.
  incarnation mOwner;  ///< Incarnation that recorded the request if mKind is
                       ///< OwnedElsewhere.
  const char* mReason =
    ""; ///< One of kReason... if mKind is NotRun or Unproven.
};

constexpr const char* kReasonPlatform = "platform_unavailable";
constexpr const char* kReasonTooOld =
  "too_old"; ///< The issue time is too old or too far in the future.
constexpr const char* kReasonRecordFull = "record_full";
constexpr const char* kReasonRecordUnreadable = "record_unreadable";
constexpr const char* kReasonTimeout = "record_timeout";

/** Actions that the record keeper requests after an event. */
struct record_effects
{
  std::vector<verdict> mVerdicts;
  bool mReadBucket = false; ///< Read the bucket and pass the result to OnRead.
  std::optional<cas_request>
    mCas; ///< Perform the compare-and-swap and pass its result to OnCas.
  std::optional<model::instant>
    mWakeAt; ///< Time to call OnTimer; replaces any earlier wake-up time.
};

/**
 * Returns whether a recorded request may be sent now. To be called right before
 * the first byte is sent: the process may have been paused since the verdict.
 */
bool
MaySend(const send_permit& aPermit, const clock_reading& aClock);

} // namespace monsooncroft::once

#endif
