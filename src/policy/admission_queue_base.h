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
#include <unordered_map>
#include <utility>

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

  /** An attempt asks for a slot; offered again, it changes nothing. */
  admission_effects Offer(const admission_item& aItem, model::instant aNow);

  /**
   * An attempt that held a slot has ended. Unknown attempts change nothing.
   * @param aAttempt The attempt.
   * @param aOutcome How it ended; Error if it was cancelled while it ran.
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
  model::duration ServiceTime() const { return mLimit.ServiceTime(); }
  int Slots() const { return mLimit.Slots(); } ///< Slots in use at present.
  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }
  bool Draining() const { return mDraining; }
  std::optional<model::instant> NextWake() const; ///< Nothing waits: nothing.

private:
  static constexpr std::size_t kClasses = 3; ///< Values of model::urgency.

  /** Place in a tenant's order: deadline, then arrival. */
  using queue_key = std::pair<model::instant, std::uint64_t>;

  /** What one tenant has waiting in one class. */
  struct workspace_queue
  {
    double mWeight = 1;
    std::map<queue_key, admission_item> mItems; ///< Never empty.
  };

  /** One class of urgency. */
  struct urgency_class
  {
    model::instant mLastServed; ///< Last dispatch, or when it began to wait.
    std::size_t mCount = 0;     ///< Items that wait.
    double mVirtualTime = 0;    ///< Of the tenant served last.
    std::map<model::workspace_id, double>
      mFinishTags; ///< Virtual time by tenant;
                   ///< only of tenants ahead.
    std::map<model::workspace_id, workspace_queue> mWorkspaces;
  };

  /** Where a waiting attempt is found. */
  struct waiting_entry
  {
    std::size_t mClass = 0;
    model::workspace_id mWorkspace;
    queue_key mKey;
    model::instant mDeadline;
  };

  void DispatchWaiting(model::instant aNow, admission_effects& aOut);
  void Dispatch(const admission_item& aItem,
                model::instant aNow,
                admission_effects& aOut);
  void Enqueue(const admission_item& aItem, model::instant aNow);
  bool MakeRoom(const admission_item& aItem, admission_effects& aOut);
  void ExpireWaiting(model::instant aNow, admission_effects& aOut);
  void RemoveWaiting(const model::attempt_id& aAttempt);
  void Charge(const admission_item& aItem, model::instant aNow);
  const admission_item& NextToDispatch(model::instant aNow) const;
  const admission_item* EvictionCandidate(const admission_item& aItem) const;
  std::size_t NextClass(model::instant aNow) const;
  double ItemsAhead(const admission_item& aItem) const;
  double StartTag(const urgency_class& aClass,
                  const model::workspace_id& aTenant) const;
  bool TooLate(model::instant aDeadline, model::instant aNow) const;
  model::duration RequiredServiceTime() const;
  model::duration WaitBehind(double aAhead) const;
  bool Fifo() const { return mSettings.mMode == admission_mode::Fifo; }
  std::size_t ClassOf(const admission_item& aItem) const;
  model::workspace_id WorkspaceOf(const admission_item& aItem) const;

  admission_settings mSettings;
  slot_limit mLimit;
  std::unordered_map<model::attempt_id, int>
    mRunning; ///< With how many ran when it began, itself counted.
  std::array<urgency_class, kClasses> mClasses;
  std::unordered_map<model::attempt_id, waiting_entry> mWaiting;
  std::set<std::pair<model::instant, model::attempt_id>>
    mDeadlines; ///< Of what waits.
  std::uint64_t mSequence = 0;
  bool mDraining = false;
};

} // namespace monsooncroft::policy

#endif
