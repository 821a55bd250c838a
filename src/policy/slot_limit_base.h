/**
 * @file slot_limit_base.h
 * How many requests a leaf is trusted to run at one time.
 */
#ifndef MONSOONCROFT_POLICY_SLOT_LIMIT_BASE_H
#define MONSOONCROFT_POLICY_SLOT_LIMIT_BASE_H

#include "model/attempt_type.h"
#include "model/time_type.h"

#include <optional>

namespace monsooncroft::policy {

/**
 * Additive increase, multiplicative decrease of a leaf's slots: down when the
 * smoothed service time is far above its recent floor or the leaf sheds, up
 * again with each request served at a normal pace; never above the declared
 * slots and never below one.
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
   * @param aOutcome How it ended.
   * @param aService Time from send to answer.
   * @param aNow Present time.
   */
  void OnDone(model::attempt_outcome aOutcome,
              model::duration aService,
              model::instant aNow);

  int Slots() const; ///< At least one, at most the declared slots.
  model::duration Service() const; ///< Smoothed service time.

private:
  void Sample(double aService, model::instant aNow);
  void Decrease(model::instant aNow);
  double Floor() const;

  int mDeclared;
  bool mAdaptive;
  double mLimit;          ///< Slots in use, fractional between steps.
  double mService;        ///< Smoothed service time, microseconds.
  bool mSampled = false;  ///< mService comes from the leaf, not the guess.
  double mFloor = 0;      ///< Least mService of the running window.
  double mLastFloor = 0;  ///< Least mService of the window before; 0: none.
  model::instant mWindow; ///< Start of the running window.
  std::optional<model::instant> mDecreased; ///< Last decrease.
};

} // namespace monsooncroft::policy

#endif
