/**
 * @file call_rates.cpp
 * Rates by whole seconds; the limit is a token bucket of one second.
 */
#include "standin/call_rates.h"

#include <algorithm>

namespace monsooncroft::standin {

namespace {

std::int64_t
SecondOf(model::instant aNow)
{
  return std::chrono::floor<std::chrono::seconds>(aNow.time_since_epoch())
    .count();
}

} // namespace

bool
call_rates::Admit(model::instant aNow, double aLimit)
{
  Turn(SecondOf(aNow));
  const std::chrono::duration<double> gone = aNow - mFilled;
  mTokens = std::min(aLimit, mTokens + (gone.count() * aLimit));
  mFilled = aNow;
  if (aLimit > 0 && mTokens < 1) {
    ++mRefused;
    return false;
  }
  mTokens -= 1;
  ++mCurrent;
  mMost = std::max(mMost, mCurrent);
  return true;
}

std::uint64_t
call_rates::Last(model::instant aNow) const
{
  const std::int64_t age = SecondOf(aNow) - mSecond;
  if (age == 0) {
    return mPrevious;
  }
  return age == 1 ? mCurrent : 0;
}

std::uint64_t
call_rates::Most() const
{
  return mMost;
}

void
call_rates::Turn(std::int64_t aSecond)
{
  if (aSecond == mSecond) {
    return;
  }
  mPrevious = aSecond == mSecond + 1 ? mCurrent : 0;
  mCurrent = 0;
  mSecond = aSecond;
}

} // namespace monsooncroft::standin
