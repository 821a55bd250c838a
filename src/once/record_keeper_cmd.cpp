/**
 * @file record_keeper_cmd.cpp
 * What changes the state of a record keeper.
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
  const bool used = mDispatched.count(aOffer.mRequest) != 0;
  if (used || mPending.count(aOffer.mRequest) != 0) {
    verdict out;
    out.mRequest = aOffer.mRequest;
    out.mKind = verdict_kind::AlreadyOurs;
    effects.mVerdicts.push_back(out);
    effects.mWakeAt = NextWake();
    return effects;
  }
  offer bounded = aOffer;
  bounded.mGiveUpAt = std::min<model::instant>(
    aOffer.mGiveUpAt, aClock.mNow + mSettings.mMaxWait);
  mPending.emplace(bounded.mRequest, bounded);
  Advance(aClock, effects);
  return effects;
}

record_effects
record_keeper::OnRead(const read_result& aResult, const clock_reading& aClock)
{
  record_effects effects;
  mCall = call::None;
  mKnown.reset();
  if (!aResult.mAvailable) {
    RefuseAll(kReasonPlatform, effects);
    return effects;
  }
  auto value = Decode(aResult.mValue);
  if (!value) {
    RefuseAll(kReasonRecordUnreadable, effects);
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
  mCall = call::None;
  mKnown.reset();
  record written = std::exchange(mWriting, {});
  switch (aResult.mOutcome) {
    case cas_outcome::Stored:
      mKnown = known_value{ aResult.mRevision, std::move(written) };
      break;
    case cas_outcome::NotDone:
      RefuseAll(kReasonPlatform, effects);
      return effects;
    case cas_outcome::Conflict:
    case cas_outcome::Ambiguous:
      // Only the bucket itself can tell what is in it now.
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
record_keeper::Release(const request_hash& aRequest)
{
  mDispatched.erase(aRequest);
}

void
record_keeper::Advance(const clock_reading& aClock, record_effects& aEffects)
{
  SettleAll(aClock, aEffects);
  ForgetOld(aClock.mWall);
  const bool due = !mWriteAllowedAt || aClock.mNow >= *mWriteAllowedAt;
  if (mCall == call::None && !mPending.empty()) {
    if (!mKnown) {
      mCall = call::Read;
      aEffects.mRead = true;
    } else if (due) {
      StartWrite(aClock, aEffects);
    }
  }
  aEffects.mWakeAt = NextWake();
}

void
record_keeper::SettleAll(const clock_reading& aClock, record_effects& aEffects)
{
  for (auto it = mPending.begin(); it != mPending.end();) {
    auto out = Settle(it->second, aClock);
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
record_keeper::RefuseAll(const char* aReason, record_effects& aEffects)
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
  // All of mPending is fresh at aClock and absent from mKnown: SettleAll has
  // just looked, after the value was read.
  record next = mKnown->mRecord;
  Prune(next, mSettings, aClock.mWall);
  std::size_t bytes = EncodedBound(next);
  const std::size_t entryBytes =
    EncodedBound({ { request_hash(), { model::wall_instant(), mSelf } } });
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
  aEffects.mCas = cas_call{ mKnown->mRevision, Encode(next) };
  mWriting = std::move(next);
  mWriteAllowedAt = aClock.mNow + mSettings.mWriteInterval;
  mCall = call::Write;
}

void
record_keeper::ForgetOld(model::wall_instant aWall)
{
  // An entry that may be pruned is past the age at which it could run again.
  std::erase_if(mDispatched, [&](const auto& aEntry) {
    return aEntry.second + mSettings.mWindow <= aWall;
  });
}

} // namespace monsooncroft::once
