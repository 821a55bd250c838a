/**
 * @file record_keeper_cmd.cpp
 * Operations that change the state of a record keeper.
 */
#include "once/record_codec_func.h"
#include "once/record_keeper_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::once {

record_keeper::record_keeper(record_settings aSettings, incarnation aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
}

record_effects
record_keeper::Offer(const offer& aOffer, const clock_reading& aClock)
{
  record_effects effects;
  const bool dispatched = mDispatched.count(aOffer.mRequest) != 0;
  if (dispatched || mPending.count(aOffer.mRequest) != 0) {
    verdict out;
    out.mRequest = aOffer.mRequest;
    out.mKind = verdict_kind::OwnedHere;
    effects.mVerdicts.push_back(out);
    effects.mWakeAt = NextWake();
    return effects;
  }
  offer bounded = aOffer;
  bounded.mDeadline = std::min<model::instant>(
    aOffer.mDeadline, aClock.mNow + mSettings.mMaxWait);
  mPending.emplace(bounded.mRequest, bounded);
  Advance(aClock, effects);
  return effects;
}

record_effects
record_keeper::OnRead(const read_result& aResult, const clock_reading& aClock)
{
  record_effects effects;
  mPlatformCall = platform_call::None;
  mKnown.reset();
  if (!aResult.mAvailable) {
    RefuseOffers(kReasonPlatform, effects);
    return effects;
  }
  auto value = DecodeRecord(aResult.mValue);
  if (!value) {
    RefuseOffers(kReasonRecordUnreadable, effects);
    return effects;
  }
  mKnown = known_value{ aResult.mRevision, std::move(*value) };
  Advance(aClock, effects);
  return effects;
}

record_effects
record_keeper::OnCas(const cas_result& aResult, const clock_reading& aClock)
{
  record_effects effects;
  mPlatformCall = platform_call::None;
  mKnown.reset();
  record written = std::exchange(mWriting, {});
  switch (aResult.mOutcome) {
    case cas_outcome::Stored:
      mKnown = known_value{ aResult.mRevision, std::move(written) };
      break;
    case cas_outcome::NotApplied:
      RefuseOffers(kReasonPlatform, effects);
      return effects;
    case cas_outcome::Conflict:
    case cas_outcome::Ambiguous:
      // Only another read shows what is in the bucket now.
      break;
  }
  Advance(aClock, effects);
  return effects;
}

record_effects
record_keeper::OnTimer(const clock_reading& aClock)
{
  record_effects effects;
  Advance(aClock, effects);
  return effects;
}

void
record_keeper::ReleaseDispatch(const request_hash& aRequest)
{
  mDispatched.erase(aRequest);
}

void
record_keeper::Advance(const clock_reading& aClock, record_effects& aEffects)
{
  DecideOffers(aClock, aEffects);
  ForgetOldDispatches(aClock.mWall);
  const bool due = !mWriteAllowedAt || aClock.mNow >= *mWriteAllowedAt;
  if (mPlatformCall == platform_call::None && !mPending.empty()) {
    if (!mKnown) {
      mPlatformCall = platform_call::Read;
      aEffects.mReadBucket = true;
    } else if (due) {
      StartWrite(aClock, aEffects);
    }
  }
  aEffects.mWakeAt = NextWake();
}

void
record_keeper::DecideOffers(const clock_reading& aClock,
                            record_effects& aEffects)
{
  for (auto it = mPending.begin(); it != mPending.end();) {
    auto out = DecideOffer(it->second, aClock);
    if (!out) {
      ++it;
      continue;
    }
    if (out->mKind == verdict_kind::Dispatch) {
      mDispatched[it->first] = it->second.mIssuedAt;
    }
    aEffects.mVerdicts.push_back(std::move(*out));
    it = mPending.erase(it);
  }
}

void
record_keeper::RefuseOffers(const char* aReason, record_effects& aEffects)
{
  for (const auto& [hash, waiting] : mPending) {
    verdict out;
    out.mRequest = hash;
    out.mReason = aReason;
    aEffects.mVerdicts.push_back(std::move(out));
  }
  mPending.clear();
}

void
record_keeper::StartWrite(const clock_reading& aClock, record_effects& aEffects)
{
  // All pending offers are fresh at aClock and absent from mKnown: DecideOffers
  // has just checked both, after the value was read.
  record next = mKnown->mRecord;
  PruneRecord(next, mSettings, aClock.mWall);
  std::size_t bytes = MaxEncodedBytes(next);
  const std::size_t entryBytes =
    MaxEncodedBytes({ { request_hash(), { model::wall_instant(), mSelf } } });
  for (auto it = mPending.begin(); it != mPending.end();) {
    if (bytes + entryBytes > mSettings.mMaxBytes) {
      verdict out;
      out.mRequest = it->first;
      out.mReason = kReasonRecordFull;
      aEffects.mVerdicts.push_back(std::move(out));
      it = mPending.erase(it);
      continue;
    }
    next[it->first] = record_entry{ it->second.mIssuedAt, mSelf };
    bytes += entryBytes;
    ++it;
  }
  if (mPending.empty()) {
    return;
  }
  aEffects.mCas = cas_request{ mKnown->mRevision, EncodeRecord(next) };
  mWriting = std::move(next);
  mWriteAllowedAt = aClock.mNow + mSettings.mWriteInterval;
  mPlatformCall = platform_call::Write;
}

void
record_keeper::ForgetOldDispatches(model::wall_instant aWall)
{
  // Dispatches are remembered for longer than the entries, so that a clock that
  // steps back slightly does not make a used permission look unused.
  std::erase_if(mDispatched, [&](const auto& aEntry) {
    return aEntry.second + 2 * mSettings.mWindow <= aWall;
  });
}

} // namespace monsooncroft::once
