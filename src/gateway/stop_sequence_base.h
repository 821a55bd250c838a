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
 * Serves on until the balancer has taken the instance out, then ends idle
 * connections, then waits for those at work. Answers the load of instances
 * that are stopped in turn while each is answering.
 */
class stop_sequence
{
public:
  /** What to do now; each step includes those before it. */
  enum class step
  {
    Serve,     ///< Each answer ends its connection.
    CloseIdle, ///< No new connections; idle ones are ended.
    Exit,
  };

  /** @param aBound From the beginning to the forced end of the process. */
  stop_sequence(model::instant aBegun, model::duration aBound)
    : mStartedAt(aBegun)
    , mBound(aBound)
  {
  }

  /** @param aConnections Callers' connections that still stand. */
  step CurrentStep(std::size_t aConnections, model::instant aNow) const
  {
    const auto gone = aNow - mStartedAt;
    if (gone >= mBound - kExitMargin) {
      return step::Exit;
    }
    if (gone < kBalancerLag) {
      return step::Serve;
    }
    return aConnections == 0 ? step::Exit : step::CloseIdle;
  }

  model::instant StartedAt() const { return mStartedAt; }

private:
  /** The balancer asks once a second and acts on the second miss; the rest is
   * for connections that were on their way. */
  static constexpr std::chrono::milliseconds kBalancerLag{ 2'600 };
  static constexpr std::chrono::milliseconds kExitMargin{
    300
  }; ///< Before the
     ///< forced end.

  model::instant mStartedAt;
  model::duration mBound;
};

} // namespace monsooncroft::gateway

#endif
