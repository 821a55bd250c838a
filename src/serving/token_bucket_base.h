/**
 * @file token_bucket_base.h
 * Token bucket.
 */
#ifndef MONSOONCROFT_SERVING_TOKEN_BUCKET_BASE_H
#define MONSOONCROFT_SERVING_TOKEN_BUCKET_BASE_H

#include "model/time_type.h"

#include <algorithm>
#include <cmath>

namespace monsooncroft::serving {

/** Tokens that accrue at a rate up to a capacity. */
class token_bucket
{
public:
  token_bucket(double aTokens, model::instant aNow)
    : mTokens(aTokens)
    , mUpdatedAt(aNow)
  {
  }

  /** Sets the rate for the time since the last call and until the next. */
  void Advance(double aPerSecond, double aCapacity, model::instant aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - mUpdatedAt;
    mTokens = std::min(aCapacity,
                       mTokens + std::max(0.0, elapsed.count()) * aPerSecond);
    mPerSecond = aPerSecond;
    mUpdatedAt = std::max(mUpdatedAt, aNow);
  }
  bool Has(double aTokens) const { return mTokens >= aTokens; }
  void Take(double aTokens = 1) { mTokens -= aTokens; }
  /** Replaces the tokens, also by a number above the capacity or below 0. */
  void Set(double aTokens) { mTokens = aTokens; }
  double Tokens() const { return mTokens; }
  /** Time until the bucket has that many tokens, rounded up. */
  std::chrono::milliseconds TimeUntil(double aTokens) const
  {
    const double seconds =
      std::max(0.0, aTokens - mTokens) / std::max(mPerSecond, kMinPerSecond);
    return std::chrono::milliseconds(
      static_cast<long>(std::ceil(std::min(seconds, kMaxSeconds) * 1'000)));
  }

private:
  static constexpr double kMinPerSecond = 1e-6;
  static constexpr double kMaxSeconds = 60;

  double mTokens;
  double mPerSecond = 0;
  model::instant mUpdatedAt;
};

} // namespace monsooncroft::serving

#endif
