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
 * A free slot goes to the most urgent class; a class that was not served for
 * one ageing step counts as one class more urgent. Within a class, the
 * workspace that has used the least of its share goes first (start-time fair
 * queueing); within a workspace, the earliest deadline. An attempt that cannot
 * finish before its deadline is refused on arrival, or as soon as the estimate
 * shows it.
 */
class admission_queue
{
public:
  /**
   * @param aSlots Leaf slots that this queue may fill.
   * @param aSettings Queue limit, serving order and service time settings.
   */
  explicit admission_queue(int aSlots, admission_settings aSettings = {});

  /** Requests a slot for an attempt; an attempt that is already known is
   * ignored. */
  admission_effects Offer(const admission_item& aItem, model::instant aNow);

  /**
   * Releases the slot of an ended attempt; unknown attempts are ignored.
   * @param aAttempt Attempt that held the slot.
   * @param aOutcome Outcome; Error if the attempt was cancelled while running.
   * @param aServiceTime Time from dispatch to the end.
   * @param aNow Current time.
   */
  admission_effects OnDone(const model::attempt_id& aAttempt,
                           model::attempt_outcome aOutcome,
                           model::duration aServiceTime,
                           model::instant aNow);

  /** Removes a waiting attempt; a running attempt keeps its slot until
   * OnDone(). */
  admission_effects OnCancel(const model::attempt_id& aAttempt);
  admission_effects OnTimer(model::instant aNow); ///< NextWake() is due.
  /** While draining, all waiting and newly offered attempts are refused. */
  admission_effects SetDraining(bool aDraining);
  admission_effects SetSlots(int aSlots, model::instant aNow);

  /** Estimated time until an item offered now would get a slot. */
  model::duration EstimatedWait(const admission_item& aItem) const;
  /** Estimated wait of an item that is queued behind all waiting items. */
  model::duration EstimatedWait() const;
  model::duration ServiceTime() const { return mLimit.ServiceTime(); }
  int Slots() const { return mLimit.Slots(); } ///< Current slot limit.
  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }
  bool Draining() const { return mDraining; }
  /** Time of the next OnTimer(); empty if nothing waits. */
  std::optional<model::instant> NextWake() const;

private:
  /** Number of model::urgency values. */
  static constexpr std::size_t kClasses = 3;

  /** Sort key within a workspace: deadline, then arrival number. */
  using queue_key = std::pair<model::instant, std::uint64_t>;

  /** Waiting items of one workspace in one urgency class. */
  struct workspace_queue
  {
    double mWeight = 1;
    std::map<queue_key, admission_item> mItems; ///< Never empty.
  };

  /** State of one urgency class. */
  struct urgency_class
  {
    /** Last dispatch, or the arrival that made the class non-empty. */
    model::instant mLastServed;
    std::size_t mCount = 0;  ///< Waiting items.
    double mVirtualTime = 0; ///< Start tag of the last dispatch.
    /** Finish tag of each workspace's last dispatch; only those above
     * mVirtualTime. */
    std::map<model::workspace_id, double> mFinishTags;
    std::map<model::workspace_id, workspace_queue> mWorkspaces;
  };

  /** Location of a waiting attempt in mClasses. */
  struct waiting_entry
  {
    std::size_t mClass = 0;
    model::workspace_id mWorkspace;
    queue_key mKey;
    model::instant mDeadline;
  };

  void DispatchWaiting(model::instant aNow, admission_effects& aEffects);
  void Dispatch(const admission_item& aItem,
                model::instant aNow,
                admission_effects& aEffects);
  void Enqueue(const admission_item& aItem, model::instant aNow);
  bool MakeRoom(const admission_item& aItem, admission_effects& aEffects);
  void ExpireWaiting(model::instant aNow, admission_effects& aEffects);
  void RemoveWaiting(const model::attempt_id& aAttempt);
  void Charge(const admission_item& aItem, model::instant aNow);
  const admission_item& NextToDispatch(model::instant aNow) const;
  const admission_item* EvictionCandidate(const admission_item& aItem) const;
  std::size_t NextClass(model::instant aNow) const;
  double ItemsAhead(const admission_item& aItem) const;
  double StartTag(const urgency_class& aClass,
                  const model::workspace_id& aWorkspace) const;
  bool TooLate(model::instant aDeadline, model::instant aNow) const;
  model::duration RequiredServiceTime() const;
  model::duration WaitBehind(double aItemsAhead) const;
  bool Fifo() const { return mSettings.mMode == admission_mode::Fifo; }
  std::size_t ClassOf(const admission_item& aItem) const;
  model::workspace_id WorkspaceOf(const admission_item& aItem) const;

  admission_settings mSettings;
  slot_limit mLimit;
  /** Concurrency at each attempt's dispatch, including the attempt itself. */
  std::unordered_map<model::attempt_id, int> mRunning;
  std::array<urgency_class, kClasses> mClasses;
  std::unordered_map<model::attempt_id, waiting_entry> mWaiting;
  /** Deadlines of waiting attempts. */
  std::set<std::pair<model::instant, model::attempt_id>> mDeadlines;
  std::uint64_t mSequence = 0;
  bool mDraining = false;
};

} // namespace monsooncroft::policy

#endif
