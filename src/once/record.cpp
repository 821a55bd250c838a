/**
 * @file record.cpp
 * Checks the ages of record entries and send permits.
 */
#include "once/record_event_type.h"
#include "once/record_type.h"

namespace monsooncroft::once {

bool
IsFresh(const record_settings& aSettings,
        model::wall_instant aIssuedAt,
        model::wall_instant aWall)
{
  const bool ahead = aIssuedAt > aWall + aSettings.mMaxAhead;
  return !ahead && aWall < aIssuedAt + aSettings.mWindow / 2;
}

void
PruneRecord(record& aRecord,
            const record_settings& aSettings,
            model::wall_instant aWall)
{
  std::erase_if(aRecord, [&](const auto& aEntry) {
    return aEntry.second.mIssuedAt + aSettings.mWindow <= aWall;
  });
}

bool
MaySend(const send_permit& aPermit, const clock_reading& aClock)
{
  return aClock.mNow < aPermit.mExpiresAt &&
         aClock.mWall < aPermit.mExpiresAtWall;
}

} // namespace monsooncroft::once
