/**
 * @file record_keeper_base.h
 * Records the intents of one bucket, many a write.
 */
#ifndef MONSOONCROFT_ONCE_RECORD_KEEPER_BASE_H
#define MONSOONCROFT_ONCE_RECORD_KEEPER_BASE_H

#include "once/record_event_type.h"

#include <map>
#include <optional>
#include <string>

namespace monsooncroft::once {

/**
 * State machine of one bucket at one instance. A request is dispatched only
 * when an entry of this very incarnation is known to be in the bucket, and at
 * most once for each entry. Presence is judged only against the value whose
 * revision the compare-and-swap then expects, and age only after that value
 * was read. An ambiguous write is settled by reading: the entries carry the
 * incarnation, so this instance tells its own. Not thread safe.
 */
class record_keeper
{
public:
  record_keeper(record_settings aSettings, incarnation aSelf);

  /** A request wants to run. A request that is offered while its verdict is
   * open gets AlreadyOurs. */
  record_effects Offer(const offer& aOffer, const clock_reading& aClock);
  /** The read that was asked for has ended. */
  record_effects OnRead(const read_result& aResult,
                        const clock_reading& aClock);
  /** The compare-and-swap that was asked for has ended. */
  record_effects OnCas(const cas_result& aResult, const clock_reading& aClock);
  /** The time asked for in mWakeAt has come; early calls do no harm. */
  record_effects OnTimer(const clock_reading& aClock);

  /**
   * A dispatched request provably ran nowhere and its sender is told so: a
   * later send may run under the same entry.
   * @pre No byte of it can reach a leaf any more, or each leaf reached said
   * that it did not run it.
   */
  void ReleaseDispatch(const request_hash& aRequest);

  std::size_t PendingCount() const { return mPending.size(); } ///< Open offers.
  std::string Describe() const; ///< The whole state, for status and tests.

private:
  /** The platform call under way. */
  enum class platform_call
  {
    None,
    Read,
    Write,
  };

  /** The bucket as last read or written. */
  struct known_value
  {
    revision mRevision = 0;
    record mRecord;
  };

  void Advance(const clock_reading& aClock, record_effects& aEffects);
  void DecideOffers(const clock_reading& aClock, record_effects& aEffects);
  std::optional<verdict> DecideOffer(const offer& aOffer,
                                     const clock_reading& aClock) const;
  verdict GrantDispatch(const offer& aOffer, const clock_reading& aClock) const;
  void RefuseOffers(const char* aReason, record_effects& aEffects);
  void StartWrite(const clock_reading& aClock, record_effects& aEffects);
  void ForgetOldDispatches(model::wall_instant aWall);
  std::optional<model::instant> NextWake() const;

  record_settings mSettings;
  incarnation mSelf;
  std::map<request_hash, offer> mPending; ///< Offers without a verdict.
  std::map<request_hash, model::wall_instant>
    mDispatched; ///< Requests whose permission is used, with issue times.
  std::optional<known_value> mKnown;
  record mWriting; ///< The value of the write under way.
  platform_call mPlatformCall = platform_call::None;
  std::optional<model::instant> mWriteAllowedAt; ///< Start of the next write.
};

} // namespace monsooncroft::once

#endif
