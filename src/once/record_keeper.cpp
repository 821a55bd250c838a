/**
 * @file record_keeper.cpp
 * Decides on offers by the known value of a bucket.
 */
#include "once/record_keeper_base.h"

#include <algorithm>

namespace monsooncroft::once {

namespace {

void
AppendNumber(std::string& aText, std::int64_t aNumber)
{
  aText += std::to_string(aNumber);
  aText += ' ';
}

void
AppendTimed(std::string& aText,
            const request_hash& aRequest,
            model::wall_instant aIssuedAt)
{
  aText += ToHex(aRequest);
  aText += '@';
  AppendNumber(aText, aIssuedAt.time_since_epoch().count());
}

void
AppendRecord(std::string& aText, const record& aRecord)
{
  for (const auto& [hash, entry] : aRecord) {
    AppendTimed(aText, hash, entry.mIssuedAt);
    aText += entry.mOwner.mInstance.Value();
    aText += '#';
    AppendNumber(aText, static_cast<std::int64_t>(entry.mOwner.mNumber));
  }
}

} // namespace

std::optional<verdict>
record_keeper::DecideOffer(const offer& aOffer,
                           const clock_reading& aClock) const
{
  verdict out;
  out.mRequest = aOffer.mRequest;
  const bool fresh = IsFresh(mSettings, aOffer.mIssuedAt, aClock.mWall);
  const bool timedOut = aClock.mNow >= aOffer.mDeadline;
  const char* refusalReason = fresh ? kReasonTimeout : kReasonTooOld;
  const bool refuse = timedOut || !fresh;
  if (mKnown) {
    const auto found = mKnown->mRecord.find(aOffer.mRequest);
    if (found != mKnown->mRecord.end()) {
      if (found->second.mOwner != mSelf) {
        out.mKind = verdict_kind::OwnedElsewhere;
        out.mOwner = found->second.mOwner;
        return out;
      }
      if (!refuse) {
        return GrantDispatch(aOffer, aClock);
      }
      // The only permission to run the request is held here and is unused. This
      // proves that the request did not run, as long as a use of the permission
      // would still be remembered.
      const bool outsideWindow =
        found->second.mIssuedAt + mSettings.mWindow <= aClock.mWall;
      out.mKind = outsideWindow ? verdict_kind::Unproven : verdict_kind::NotRun;
      out.mReason = refusalReason;
      return out;
    }
  }
  if (!refuse) {
    return std::nullopt;
  }
  out.mReason = refusalReason;
  return out;
}

verdict
record_keeper::GrantDispatch(const offer& aOffer,
                             const clock_reading& aClock) const
{
  verdict out;
  out.mRequest = aOffer.mRequest;
  out.mKind = verdict_kind::Dispatch;
  out.mPermit.mExpiresAt = std::min<model::instant>(
    aOffer.mDeadline, aClock.mNow + mSettings.mMaxSendDelay);
  out.mPermit.mExpiresAtWall = aOffer.mIssuedAt + mSettings.mWindow / 2;
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
    wake = std::min(wake, waiting.mDeadline);
  }
  if (mPlatformCall == platform_call::None && mWriteAllowedAt) {
    wake = std::min(wake, *mWriteAllowedAt);
  }
  return wake;
}

std::string
record_keeper::Describe() const
{
  std::string out = "call=" + std::to_string(static_cast<int>(mPlatformCall));
  out += " pending=";
  for (const auto& [hash, waiting] : mPending) {
    AppendTimed(out, hash, waiting.mIssuedAt);
    AppendNumber(out, waiting.mDeadline.time_since_epoch().count());
  }
  out += " dispatched=";
  for (const auto& [hash, issued] : mDispatched) {
    AppendTimed(out, hash, issued);
  }
  if (mKnown) {
    out += " known=";
    AppendNumber(out, static_cast<std::int64_t>(mKnown->mRevision));
    AppendRecord(out, mKnown->mRecord);
  }
  out += " writing=";
  AppendRecord(out, mWriting);
  if (mWriteAllowedAt) {
    out += " next=";
    AppendNumber(out, mWriteAllowedAt->time_since_epoch().count());
  }
  return out;
}

} // namespace monsooncroft::once
