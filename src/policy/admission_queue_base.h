/**
 * @file admission_queue_base.h
 * Admission of attempts to one leaf's slots.
 */
#ifndef MONSOONCROFT_POLICY_ADMISSION_QUEUE_BASE_H
#define MONSOONCROFT_POLICY_ADMISSION_QUEUE_BASE_H

#include "model/attempt_type.h"
#include "policy/admission_type.h"
#include "policy/slot_limit_base.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace monsooncroft::policy {

/**
 * Decides which attempts run at a leaf, which wait and which are refused.
 *
 * A free slot goes to the most urgent class, where a class that was not
 * served for an ageing step counts as one class more urgent; within the class
 * to the tenant that has used the least of its share; within the tenant to
 * the earliest deadline. What cannot end before its deadline is refused at
 * once, or as soon as that shows.
 */
class admission_queue
{
public:
  /**
   * @param aSlots Slots of the leaf that this queue may fill.
   * @param aSettings Parameters.
   */
  explicit admission_queue(int aSlots, admission_settings aSettings = {});

  admission_effects Offer(const admission_item& aItem, model::instant aNow);

  /**
   * An attempt that held a slot has ended. Unknown attempts change nothing.
   * @param aAttempt The attempt.
   * @param aOutcome How it ended.
   * @param aService Time from dispatch to the end.
   * @param aNow Present time.
   */
  admission_effects OnDone(const model::attempt_id& aAttempt,
                           model::attempt_outcome aOutcome,
                           model::duration aService,
                           model::instant aNow);

  /** Drops a waiting attempt; one that runs keeps its slot until OnDone. */
  admission_effects OnCancel(const model::attempt_id& aAttempt);
  admission_effects OnTimer(model::instant aNow); ///< NextWake() is reached.
  /** Leaving: everything that waits or comes is refused. */
  admission_effects SetDraining(bool aDraining);
  admission_effects SetSlots(int aSlots, model::instant aNow);

  /** Time until an item offered now would get a slot. */
  model::duration EstimatedWait(const admission_item& aItem) const;
  /** The same for an item that comes behind everything that waits. */
  model::duration EstimatedWait() const;
  model::duration Service() const { return mLimit.Service(); }
  int Slots() const { return mLimit.Slots(); } ///< Slots in use at present.
  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }
  bool Draining() const { return mDraining; }
  std::optional<model::instant> NextWake() const; ///< Nothing waits: nothing.

private:
  static constexpr std::size_t kClasses = 3; ///< Values of model::urgency.

  /** An item that waits. */
  struct waiting
  {
    admission_item mItem;
    std::uint64_t mSequence = 0; ///< Order of arrival.
  };

  /** One class of urgency. */
  struct urgency_class
  {
    model::instant mServed;  ///< Last dispatch, or when it began to wait.
    std::size_t mCount = 0;  ///< Items that wait.
    double mVirtualTime = 0; ///< Of the tenant served last.
    std::map<model::tenant_id, double> mUsed; ///< Virtual time by tenant;
                                              ///< only of tenants ahead.
  };

  using queue = std::vector<waiting>;

  void Fill(model::instant aNow, admission_effects& aOut);
  void Enqueue(const admission_item& aItem, model::instant aNow);
  bool MakeRoom(const admission_item& aItem, admission_effects& aOut);
  void ExpireWaiting(model::instant aNow, admission_effects& aOut);
  void Take(queue::iterator aItem);
  void Charge(const admission_item& aItem, model::instant aNow);
  queue::iterator Best(model::instant aNow);
  queue::iterator Worst(const admission_item& aItem);
  std::size_t BestClass(model::instant aNow) const;
  bool GoesBefore(const waiting& aLeft, const waiting& aRight) const;
  double Ahead(const admission_item& aItem) const;
  double Used(const admission_item& aItem) const;
  bool TooLate(const admission_item& aItem, model::instant aNow) const;
  model::duration WaitBehind(double aAhead) const;
  static std::size_t ClassOf(const admission_item& aItem);

  admission_settings mSettings;
  slot_limit mLimit;
  queue mWaiting; ///< In order of arrival.
  std::set<model::attempt_id> mRunning;
  std::array<urgency_class, kClasses> mClasses;
  std::uint64_t mSequence = 0;
  bool mDraining = false;
};

} // namespace monsooncroft::policy

#endif
