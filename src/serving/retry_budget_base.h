/**
 * @file retry_budget_base.h
 * Limits the extra attempts (retries and hedges) of all instances.
 */
#ifndef MONSOONCROFT_SERVING_RETRY_BUDGET_BASE_H
#define MONSOONCROFT_SERVING_RETRY_BUDGET_BASE_H

#include "model/time_type.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace monsooncroft::serving {

/** Limits of the retry budget, for the whole fleet. */
struct retry_budget_settings
{
  double mRatio = 0.2; ///< Extra attempts per request of a service.
  double mSlack = 0;   ///< Extra attempts of the fleet in each window, allowed
                       ///< in addition to the ratio.
  std::chrono::milliseconds mWindow{ 10'000 };

  bool operator==(const retry_budget_settings&) const = default;
};

/**
 * Counts requests and extra attempts of each service in a sliding window. The
 * ratio needs no coordination between instances, since each counts the requests
 * that it received itself; the slack is divided by the number of instances.
 * When a leaf pauses, slows down or crashes and every instance retries, the
 * extra attempts of the fleet stay within the settings. A share is reserved for
 * retries after failures, which need the budget more than hedges do.
 */
class retry_budget
{
public:
  /** @param aStartedAt Start of this process. What an earlier process of the
   * instance has spent is not known, so there is no slack in the first window.
   */
  retry_budget(const retry_budget_settings& aSettings,
               model::instant aStartedAt)
    : mSettings(aSettings)
    , mStartedAt(aStartedAt)
  {
  }

  /** Reason for an extra attempt. */
  enum class purpose : std::uint8_t
  {
    Hedge, ///< The first attempt may still succeed.
    Retry, ///< The first attempt has failed.
  };

  void SetSettings(const retry_budget_settings& aSettings)
  {
    mSettings = aSettings;
  }
  /** @param aCount Instances that are known to run. The greatest count holds:
   * those that are not in reach any more may spend their share elsewhere. */
  void SetInstanceCount(std::size_t aCount)
  {
    mInstanceCount = std::max(mInstanceCount, aCount);
  }
  std::size_t InstanceCount() const { return mInstanceCount; }
  void OnRequest(const std::string& aService, model::instant aNow);
  /** Takes one extra attempt; false if the window has none left. */
  bool TryAcquire(const std::string& aService,
                  purpose aPurpose,
                  model::instant aNow);

private:
  static constexpr std::size_t kSlices = 20; ///< Slices of a window.
  /** Fraction of the allowed extra attempts that is used: the sliding windows
   * of instances are not aligned, and a request may be counted in another slice
   * than its attempts. */
  static constexpr double kUsableShare = 0.85;
  /** Fraction of the usable extra attempts that hedges may take. */
  static constexpr double kHedgeShare = 0.8;

  struct window
  {
    std::array<std::uint32_t, kSlices + 1> mRequests{};
    std::array<std::uint32_t, kSlices + 1> mExtraAttempts{};
    std::int64_t mCurrentSlice = 0; ///< Slices from the clock's epoch.
    std::uint32_t mRequestSum = 0;
    std::uint32_t mExtraAttemptSum = 0;
  };

  /** Moves a window to the current slice and drops the expired ones. */
  void Advance(window& aWindow, model::instant aNow) const;

  /** Slack of this instance in the current window. */
  double Slack(model::instant aNow) const;

  retry_budget_settings mSettings;
  model::instant mStartedAt;
  std::size_t mInstanceCount = 1;
  std::unordered_map<std::string, window> mWindows; ///< By service.
};

} // namespace monsooncroft::serving

#endif
