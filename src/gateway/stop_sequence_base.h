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
 * idle connections, then waits for busy ones, and answers what is left before
 * it exits. Loses no answers when instances under load are stopped one after
 * another.
 */
class stop_sequence
{
public:
  /** Steps in order; each includes those before it. */
  enum class step
  {
    Serve,     ///< Each connection closes after its next answer.
    CloseIdle, ///< No connections are accepted; idle ones are closed.
    /** Requests that have not been sent to a leaf are refused, so that their
     * callers have time left for another instance. */
    RefuseUnsent,
    AnswerAll, ///< All requests are answered; nothing is waited for.
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
    if (elapsed >= kBalancerLag && aConnections == 0) {
      return step::Exit;
    }
    if (elapsed >= mBound - kAnswerMargin) {
      return step::AnswerAll;
    }
    if (elapsed >= mBound - kRefusalMargin) {
      return step::RefuseUnsent;
    }
    return elapsed < kBalancerLag ? step::Serve : step::CloseIdle;
  }

  model::instant StartedAt() const { return mStartedAt; }

private:
  /** The balancer checks readiness once a second and removes an instance after
   * the second failure; the rest is for connections that were being
   * established. */
  static constexpr std::chrono::milliseconds kBalancerLag{ 2'600 };
  // Times left before the forced end.
  static constexpr std::chrono::milliseconds kRefusalMargin{ 1'000 };
  static constexpr std::chrono::milliseconds kAnswerMargin{ 500 };
  static constexpr std::chrono::milliseconds kExitMargin{ 300 };

  model::instant mStartedAt;
  model::duration mBound;
};

} // namespace monsooncroft::gateway

#endif
