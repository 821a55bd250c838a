/**
 * @file retry_budget_base.h
 * The fleet's budget for sending a request to a further leaf.
 */
#ifndef MONSOONCROFT_SERVING_RETRY_BUDGET_BASE_H
#define MONSOONCROFT_SERVING_RETRY_BUDGET_BASE_H

#include "model/time_type.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace monsooncroft::serving {

/** The budget's terms, for the whole fleet. */
struct retry_budget_settings
{
  double mRatio = 0.2; ///< Extra sends for each request of a service.
  double mSlack = 0;   ///< Extra sends besides, in each window, of the fleet.
  std::chrono::milliseconds mWindow{ 10'000 };

  bool operator==(const retry_budget_settings&) const = default;
};

/**
 * Counts requests and extra sends of each service in a sliding window. The
 * ratio's part needs no word between instances, since each counts the requests
 * that it took itself; the slack is split by the number of instances. Answers
 * the load of a leaf that pauses, slows or crashes while every instance wants
 * to send again: the extra sends of the fleet stay within the terms, and a
 * share is kept for failures, which need it more than hedges do.
 */
class retry_budget
{
public:
  explicit retry_budget(const retry_budget_settings& aTerms)
    : mSettings(aTerms)
  {
  }

  /** What an extra send is for. */
  enum class purpose : std::uint8_t
  {
    Hedge, ///< The first attempt may still answer.
    Retry, ///< The first attempt has failed.
  };

  void SetSettings(const retry_budget_settings& aTerms) { mSettings = aTerms; }
  /** @param aCount Instances that may be sending, lately lost ones included. */
  void SetInstanceCount(std::size_t aCount) { mInstanceCount = aCount; }
  void OnRequest(const std::string& aService, model::instant aNow);
  /** Takes one extra send; false if the window has none left. */
  bool TryAcquire(const std::string& aService,
                  purpose aPurpose,
                  model::instant aNow);

private:
  static constexpr std::size_t kSlices = 20; ///< Of a window.
  /** Used of what the terms allow: the sliding windows of instances are not
   * aligned, and a request may be counted in another slice than its sends. */
  static constexpr double kUsableShare = 0.85;
  static constexpr double kHedgeShare = 0.8; ///< Of it that hedges may use.

  struct window
  {
    std::array<std::uint32_t, kSlices + 1> mRequests{};
    std::array<std::uint32_t, kSlices + 1> mExtraAttempts{};
    std::int64_t mCurrentSlice = 0; ///< Number of the present slice.
    std::uint32_t mRequestSum = 0;
    std::uint32_t mExtraAttemptSum = 0;
  };

  void Advance(window& aWindow, model::instant aNow) const;

  retry_budget_settings mSettings;
  std::size_t mInstanceCount = 1;
  std::unordered_map<std::string, window> mWindows; ///< By service.
};

} // namespace monsooncroft::serving

#endif
