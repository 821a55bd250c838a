/**
 * @file stop_sequence_base.h
 * The steps of a graceful stop.
 */
#ifndef MONSOONCROFT_GATEWAY_STOP_SEQUENCE_BASE_H
#define MONSOONCROFT_GATEWAY_STOP_SEQUENCE_BASE_H

#include "model/time_type.h"

#include <cstddef>

namespace monsooncroft::gateway {

/**
 * Continues serving until the balancer has removed the instance, then closes
 * idle connections, then waits for busy ones. Loses no answers when instances
 * under load are stopped one after another.
 */
class stop_sequence
{
public:
  /** Steps in order; each includes those before it. */
  enum class step
  {
    Serve,     ///< Each connection closes after its next answer.
    CloseIdle, ///< No connections are accepted; idle ones are closed.
    Exit,
  };

  /** @param aBound Time from the start of the stop to the forced end of the
   * process. */
  stop_sequence(model::instant aStartedAt, model::duration aBound)
    : mStartedAt(aStartedAt)
    , mBound(aBound)
  {
  }

  /** @param aConnections Number of callers' connections that are open. */
  step CurrentStep(std::size_t aConnections, model::instant aNow) const
  {
    const auto elapsed = aNow - mStartedAt;
    if (elapsed >= mBound - kExitMargin) {
      return step::Exit;
    }
    if (elapsed < kBalancerLag) {
      return step::Serve;
    }
    return aConnections == 0 ? step::Exit : step::CloseIdle;
  }

  model::instant StartedAt() const { return mStartedAt; }

private:
  /** The balancer checks readiness once a second and removes an instance after
   * the second failure; the rest is for connections that were being
   * established. */
  static constexpr std::chrono::milliseconds kBalancerLag{ 2'600 };
  /** Time left before the forced end. */
  static constexpr std::chrono::milliseconds kExitMargin{ 300 };

  model::instant mStartedAt;
  model::duration mBound;
};

} // namespace monsooncroft::gateway

#endif
