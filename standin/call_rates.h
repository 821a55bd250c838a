/**
 * @file call_rates.h
 * Counts calls, in total and in each second, and limits their rate.
 */
#ifndef MONSOONCROFT_STANDIN_CALL_RATES_H
#define MONSOONCROFT_STANDIN_CALL_RATES_H

#include "model/time_type.h"

#include <cstdint>

namespace monsooncroft::standin {

/** One class of calls. Not thread safe. */
class call_rates
{
public:
  /**
   * Counts a call.
   * @param aNow Present time.
   * @param aLimit Most calls a second; 0: no limit.
   * @return False if it is beyond the limit.
   */
  bool Admit(model::instant aNow, double aLimit);

  std::uint64_t Refused() const { return mRefused; } ///< Beyond the limit.
  std::uint64_t Last(model::instant aNow) const; ///< In the last whole second.
  std::uint64_t Most() const;                    ///< In the busiest second.

private:
  void Turn(std::int64_t aSecond);

  std::int64_t mSecond = 0;
  std::uint64_t mCurrent = 0; ///< Calls in mSecond.
  std::uint64_t mPrevious = 0;
  std::uint64_t mMost = 0;
  std::uint64_t mRefused = 0;
  double mTokens = 0;
  model::instant mFilled; ///< When mTokens was last brought up to date.
};

} // namespace monsooncroft::standin

#endif
