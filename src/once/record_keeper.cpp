/**
 * @file record_keeper.cpp
 * Judging offers against the known value of a bucket.
 */
#include "once/record_keeper_base.h"

#include "once/record_codec_func.h"

#include <algorithm>
#include <sstream>

namespace monsooncroft::once {

std::optional<verdict>
record_keeper::Settle(const offer& aOffer, const clock_reading& aClock) const
{
  verdict out;
  out.mRequest = aOffer.mRequest;
  const bool fresh = IsFresh(mSettings, aOffer.mIssuedAt, aClock.mWall);
  const bool late = aClock.mNow >= aOffer.mGiveUpAt;
  const char* refusal = fresh ? kReasonTimeout : kReasonTooOld;
  const bool refuse = late || !fresh;
  if (mKnown) {
    const auto found = mKnown->mRecord.find(aOffer.mRequest);
    if (found != mKnown->mRecord.end()) {
      if (found->second.mOwner != mSelf) {
        out.mKind = verdict_kind::Elsewhere;
        out.mOwner = found->second.mOwner;
        return out;
      }
      // The only permission to run it is here and unused: a refusal is proved.
      out.mKind = refuse ? verdict_kind::NotRun : verdict_kind::Dispatch;
      out.mReason = refuse ? refusal : "";
      return refuse ? out : Granted(aOffer, aClock);
    }
  }
  if (!refuse) {
    return std::nullopt;
  }
  out.mReason = refusal;
  return out;
}

verdict
record_keeper::Granted(const offer& aOffer, const clock_reading& aClock) const
{
  verdict out;
  out.mRequest = aOffer.mRequest;
  out.mKind = verdict_kind::Dispatch;
  out.mPermit.mBefore = std::min<model::instant>(
    aOffer.mGiveUpAt, aClock.mNow + mSettings.mSendWithin);
  out.mPermit.mBeforeWall = aOffer.mIssuedAt + mSettings.mWindow / 2;
  return out;
}

std::optional<model::instant>
record_keeper::NextWake() const
{
  if (mPending.empty()) {
    return std::nullopt;
  }
  auto wake = model::instant::max();
  for (const auto& [hash, waiting] : mPending) {
    wake = std::min(wake, waiting.mGiveUpAt);
  }
  if (mCall == call::None && mWriteAllowedAt) {
    wake = std::min(wake, *mWriteAllowedAt);
  }
  return wake;
}

std::string
record_keeper::Describe() const
{
  std::ostringstream out;
  out << "call=" << static_cast<int>(mCall) << " pending=";
  for (const auto& [hash, waiting] : mPending) {
    out << ToHex(hash) << '@' << waiting.mIssuedAt.time_since_epoch().count()
        << '<' << waiting.mGiveUpAt.time_since_epoch().count() << ' ';
  }
  out << "dispatched=";
  for (const auto& [hash, issued] : mDispatched) {
    out << ToHex(hash) << '@' << issued.time_since_epoch().count() << ' ';
  }
  if (mKnown) {
    out << "known=" << mKnown->mRevision << ' ' << Encode(mKnown->mRecord);
  }
  out << " writing=" << Encode(mWriting);
  if (mWriteAllowedAt) {
    out << " next=" << mWriteAllowedAt->time_since_epoch().count();
  }
  return out.str();
}

} // namespace monsooncroft::once
