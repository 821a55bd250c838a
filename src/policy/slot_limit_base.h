/**
 * @file slot_limit_base.h
 * How many requests a leaf is trusted to run at one time.
 */
#ifndef MONSOONCROFT_POLICY_SLOT_LIMIT_BASE_H
#define MONSOONCROFT_POLICY_SLOT_LIMIT_BASE_H

#include "model/attempt_type.h"
#include "model/time_type.h"

#include <vector>

namespace monsooncroft::policy {

/**
 * Adapts a leaf's slots to what it can run at one time, between one and the
 * declared slots.
 *
 * The service time is tracked for each number of requests that ran together;
 * that number over its service time is the throughput there. The limit moves
 * to another number only if that one's throughput is clearly greater, so a
 * leaf that is slow whatever runs there keeps its slots, and a crowded one
 * loses some. A refusal or a loss takes one slot away. Slots come back one by
 * one, each on probation.
 */
class slot_limit
{
public:
  /**
   * @param aDeclared Slots that the manifest declares.
   * @param aGuess Service time assumed before the first sample.
   * @param aAdaptive False keeps the declared slots.
   */
  slot_limit(int aDeclared, model::duration aGuess, bool aAdaptive);

  void SetDeclared(int aDeclared); ///< The manifest changed.

  /**
   * Learns from an attempt's end.
   * @param aOutcome How it ended; Error if it was cancelled while it ran.
   * @param aService Time from send to its end.
   * @param aTogether Requests that ran when it began, with it.
   */
  void OnDone(model::attempt_outcome aOutcome,
              model::duration aService,
              int aTogether);

  int Slots() const { return mAdaptive ? mLimit : mDeclaredSlots; }
  model::duration ServiceTime() const; ///< Smoothed service time.

private:
  /** What is known of one number of requests that run together. */
  struct concurrency_level
  {
    double mServiceTime = 0; ///< Smoothed service time, microseconds.
    int mSamples = 0;        ///< Behind it, up to the smoothing's length.

    void Add(double aService, int aLength);
  };

  void AddSample(double aService, int aTogether);
  void Adapt();
  void SetLimit(int aLimit);
  void Decrease();
  double Throughput(int aTogether) const;

  int mDeclaredSlots;
  bool mAdaptive;
  int mLimit;                             ///< Slots in use.
  concurrency_level mOverall;             ///< Over every number.
  std::vector<concurrency_level> mLevels; ///< By number of requests, less one.
  int mEndsSinceChange = 0;               ///< Ends since the limit changed.
  int mProbePause; ///< Ends until the next slot is tried again.
};

} // namespace monsooncroft::policy

#endif
