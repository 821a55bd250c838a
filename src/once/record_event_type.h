/**
 * @file record_event_type.h
 * What a record keeper is told and what it asks for.
 */
#ifndef MONSOONCROFT_ONCE_RECORD_EVENT_TYPE_H
#define MONSOONCROFT_ONCE_RECORD_EVENT_TYPE_H

#include "once/record_type.h"

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::once {

/** Both clocks, read at the same time and after the event came. */
struct clock_reading
{
  model::instant mNow;
  model::wall_instant mWall;
};

/** A request that wants to run. */
struct offer
{
  request_hash mRequest;
  model::wall_instant mIssuedAt;
  model::instant mDeadline; ///< No use of a verdict to run after this.
};

/** How a read of the bucket ended. */
struct read_result
{
  bool mAvailable = false; ///< False: no answer, or an error.
  revision mRevision = 0;  ///< 0: the key is absent.
  std::string mValue;      ///< Empty if absent.
};

/** How a compare-and-swap ended. */
enum class cas_outcome
{
  Stored,     ///< Took effect.
  Conflict,   ///< Another revision was there; never takes effect.
  Ambiguous,  ///< No answer: may have taken or may yet take effect.
  NotApplied, ///< Never left, or was refused: never takes effect.
};

/** The end of a compare-and-swap. */
struct cas_result
{
  cas_outcome mOutcome = cas_outcome::Ambiguous;
  revision mRevision = 0; ///< The new one, if Stored.
};

/** A compare-and-swap to do. */
struct cas_request
{
  revision mExpectedRevision = 0;
  std::string mValue;
};

/** What may happen to an offered request. */
enum class verdict_kind
{
  Dispatch,  ///< Recorded by this incarnation: run it, within the permit.
  OwnedHere, ///< This incarnation runs or ran it: the answer memory knows, or
             ///< the outcome is unknown.
  OwnedElsewhere, ///< Another incarnation recorded it: it alone knows the
                  ///< answer; unknown if it cannot be asked.
  NotRun,         ///< Proved: no send of this request has run.
  Unproven,       ///< This send does not run, but an earlier send of the same
                  ///< request may have: not run only for a first send.
};

/** Permission to send a recorded request; check it with MaySend. */
struct send_permit
{
  model::instant mExpiresAt;
  model::wall_instant mExpiresAtWall;
};

/** The one verdict on an offer. */
struct verdict
{
  request_hash mRequest;
  verdict_kind mKind = verdict_kind::Unproven;
  send_permit mPermit;      ///< If Dispatch.
  incarnation mOwner;       ///< If Elsewhere.
  const char* mReason = ""; ///< One of kReason..., if NotRun or Unproven.
};

constexpr const char* kReasonPlatform = "platform_unavailable";
constexpr const char* kReasonTooOld = "too_old"; ///< Or in the future.
constexpr const char* kReasonRecordFull = "record_full";
constexpr const char* kReasonRecordUnreadable = "record_unreadable";
constexpr const char* kReasonTimeout = "record_timeout";

/** What the keeper asks for after an event. */
struct record_effects
{
  std::vector<verdict> mVerdicts;
  bool mReadBucket = false;        ///< Read the bucket and tell OnRead.
  std::optional<cas_request> mCas; ///< Do it and tell OnCas.
  std::optional<model::instant>
    mWakeAt; ///< Call OnTimer then; replaces an earlier wish.
};

/**
 * Whether a recorded request may be sent now. Ask right before the first byte:
 * the process may have been paused since the verdict.
 */
bool
MaySend(const send_permit& aPermit, const clock_reading& aClock);

} // namespace monsooncroft::once

#endif
