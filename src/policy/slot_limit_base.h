/**
 * @file slot_limit_base.h
 * Adaptive limit of concurrent requests at a leaf.
 */
#ifndef MONSOONCROFT_POLICY_SLOT_LIMIT_BASE_H
#define MONSOONCROFT_POLICY_SLOT_LIMIT_BASE_H

#include "model/attempt_type.h"
#include "model/time_type.h"

#include <vector>

namespace monsooncroft::policy {

/**
 * Adapts a leaf's slots to the concurrency that the leaf can sustain, between
 * one and the declared slots.
 *
 * The service time is tracked for each concurrency level; the level divided by
 * its service time is its throughput. The limit changes to another level only
 * if that level's throughput is clearly greater, so a leaf that is slow at
 * every level keeps its slots, and a leaf that slows down with concurrency
 * loses some. A refused or lost attempt takes one slot away. Slots are restored
 * one at a time; a restored slot is taken away again if throughput clearly
 * falls.
 */
class slot_limit
{
public:
  /**
   * @param aDeclared Slots declared by the manifest.
   * @param aInitialServiceTime Service time assumed before the first sample.
   * @param aAdaptive Whether to adapt; if false, the limit is the declared
   * slots.
   */
  slot_limit(int aDeclared,
             model::duration aInitialServiceTime,
             bool aAdaptive);

  void SetDeclared(int aDeclared); ///< Called if the manifest changes.

  /**
   * Updates the estimates and the limit at the end of an attempt.
   * @param aOutcome Outcome; Error if the attempt was cancelled while running.
   * @param aServiceTime Time from send to the end.
   * @param aConcurrency Running requests when the attempt began, including it.
   */
  void OnDone(model::attempt_outcome aOutcome,
              model::duration aServiceTime,
              int aConcurrency);

  int Slots() const { return mAdaptive ? mLimit : mDeclaredSlots; }
  model::duration ServiceTime() const; ///< Smoothed service time.

private:
  /** Service time estimate at one concurrency level. */
  struct concurrency_level
  {
    double mServiceTime = 0; ///< Smoothed service time, microseconds.
    int mSamples = 0; ///< Samples in the estimate, up to the smoothing length.

    void Add(double aServiceTime, int aMaxSamples);
  };

  void AddSample(double aServiceTime, int aConcurrency);
  void Adapt();
  void SetLimit(int aLimit);
  void Decrease();
  double Throughput(int aConcurrency) const;

  int mDeclaredSlots;
  bool mAdaptive;
  int mLimit;                             ///< Current slot limit.
  concurrency_level mOverall;             ///< Over all concurrency levels.
  std::vector<concurrency_level> mLevels; ///< Indexed by concurrency - 1.
  int mEndsSinceChange = 0; ///< Attempts ended since the limit changed.
  int mProbePause;          ///< Attempts to end before one more slot is tried.
};

} // namespace monsooncroft::policy

#endif
