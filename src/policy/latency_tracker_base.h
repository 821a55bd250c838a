/**
 * @file latency_tracker_base.h
 * A quantile of recent latencies.
 */
#ifndef MONSOONCROFT_POLICY_LATENCY_TRACKER_BASE_H
#define MONSOONCROFT_POLICY_LATENCY_TRACKER_BASE_H

#include "model/time_type.h"

#include <memory>
#include <optional>

namespace monsooncroft::policy {

/**
 * Estimates one quantile of one service and kind in constant memory, over the
 * window before the present one; over the present one until there is another. A
 * window lasts until it has enough samples.
 */
class latency_tracker
{
public:
  static constexpr double kHedgeQuantile = 0.95;
  static constexpr model::duration kWindow = std::chrono::seconds(5);
  static constexpr int kMinSamples = 20; ///< Fewer give no estimate.

  explicit latency_tracker(double aQuantile = kHedgeQuantile,
                           model::duration aWindow = kWindow);
  ~latency_tracker();
  latency_tracker(latency_tracker&&) noexcept;
  latency_tracker& operator=(latency_tracker&&) noexcept;
  latency_tracker(const latency_tracker&) = delete;
  latency_tracker& operator=(const latency_tracker&) = delete;

  /**
   * Adds one attempt's latency. An attempt cancelled for a faster one counts
   * with the time it had taken until then: left out, the estimate would only
   * see fast attempts and fall.
   */
  void Add(model::duration aLatency, model::instant aNow);

  /** The estimate; nothing before there are enough samples. */
  std::optional<model::duration> Quantile() const;

private:
  struct window;

  double mQuantile;
  model::duration mWindowLength;
  std::unique_ptr<window> mCurrentWindow;
  std::optional<model::duration> mPreviousEstimate; ///< Of the window before.
};

} // namespace monsooncroft::policy

#endif
