/**
 * @file latency_tracker_base.h
 * Quantile estimate of recent latencies.
 */
#ifndef MONSOONCROFT_POLICY_LATENCY_TRACKER_BASE_H
#define MONSOONCROFT_POLICY_LATENCY_TRACKER_BASE_H

#include "model/time_type.h"

#include <memory>
#include <optional>

namespace monsooncroft::policy {

/**
 * Estimates one latency quantile of one service and kind in constant memory.
 * The estimate covers the previous window, or the current window until the
 * first window has ended. A window that has too few samples is extended.
 */
class latency_tracker
{
public:
  static constexpr double kHedgeQuantile = 0.95;
  static constexpr model::duration kWindow = std::chrono::seconds(5);
  static constexpr int kMinSamples = 20; ///< Fewer samples give no estimate.

  explicit latency_tracker(double aQuantile = kHedgeQuantile,
                           model::duration aWindow = kWindow);
  ~latency_tracker();
  latency_tracker(latency_tracker&&) noexcept;
  latency_tracker& operator=(latency_tracker&&) noexcept;
  latency_tracker(const latency_tracker&) = delete;
  latency_tracker& operator=(const latency_tracker&) = delete;

  /**
   * Adds the latency of one attempt. An attempt that was cancelled for a faster
   * one counts with the time until its cancellation: without it the estimate
   * would only cover fast attempts and fall.
   */
  void Add(model::duration aLatency, model::instant aNow);

  /** The estimate; empty until there are enough samples. */
  std::optional<model::duration> Quantile() const;

private:
  struct window;

  double mQuantile;
  model::duration mWindowLength;
  std::unique_ptr<window> mCurrentWindow;
  /** Estimate of the previous window. */
  std::optional<model::duration> mPreviousEstimate;
};

} // namespace monsooncroft::policy

#endif
