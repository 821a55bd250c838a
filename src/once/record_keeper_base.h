/**
 * @file record_keeper_base.h
 * Records the intents of one bucket, many in one write.
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
 * when an entry of this incarnation is known to be in the bucket, and at most
 * once for each entry. Whether an entry is present is decided only against the
 * value whose revision the compare-and-swap then expects, and whether a request
 * is fresh only after that value was read. An ambiguous write is resolved by
 * reading: the entries carry the incarnation, so this instance recognises its
 * own entries. Not thread safe.
 */
class record_keeper
{
public:
  record_keeper(record_settings aSettings, incarnation aSelf);

  /**
   * Offers a request to be recorded and run. A request that is offered again
   * while its verdict is pending gets OwnedHere.
   */
  record_effects Offer(const offer& aOffer, const clock_reading& aClock);
  /** Handles the result of the requested read. */
  record_effects OnRead(const read_result& aResult,
                        const clock_reading& aClock);
  /** Handles the result of the requested compare-and-swap. */
  record_effects OnCas(const cas_result& aResult, const clock_reading& aClock);
  /**
   * Handles the wake-up time requested in mWakeAt; early calls are harmless.
   */
  record_effects OnTimer(const clock_reading& aClock);

  /**
   * Releases a dispatched request that provably ran nowhere and is reported as
   * not run: a later send may run under the same entry.
   * @pre No byte of the request can reach a leaf any more, or each leaf reached
   * replied that it did not run the request.
   */
  void ReleaseDispatch(const request_hash& aRequest);

  /** Number of offers without a verdict. */
  std::size_t PendingCount() const { return mPending.size(); }
  std::string Describe()
    const; ///< Complete state as text, for status pages and tests.

private:
  /** The platform call in progress. */
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
    mDispatched; ///< Requests whose permission to run is used, with their issue
                 ///< times.
  std::optional<known_value> mKnown;
  record mWriting; ///< Value of the write in progress.
  platform_call mPlatformCall = platform_call::None;
  std::optional<model::instant>
    mWriteAllowedAt; ///< Earliest start of the next write.
};

} // namespace monsooncroft::once

#endif
