/**
 * @file admission_queue.cpp
 * Dispatch order, eviction order and wait estimates of an admission queue.
 */
#include "policy/admission_queue_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::duration;
using model::instant;
using model::workspace_id;

const char*
ToString(refusal aRefusal)
{
  switch (aRefusal) {
    case refusal::TooLate:
      return "too_late";
    case refusal::QueueFull:
      return "queue_full";
    case refusal::Evicted:
      return "evicted";
    case refusal::Draining:
      return "draining";
    case refusal::Cancelled:
      return "cancelled";
  }
  return "too_late";
}

/** In FIFO mode all items share one class and one workspace. */
std::size_t
admission_queue::ClassOf(const admission_item& aItem) const
{
  return Fifo() ? 0 : static_cast<std::size_t>(aItem.mUrgency);
}

workspace_id
admission_queue::WorkspaceOf(const admission_item& aItem) const
{
  return Fifo() ? workspace_id() : aItem.mWorkspace;
}

double
admission_queue::StartTag(const urgency_class& aClass,
                          const workspace_id& aWorkspace) const
{
  const auto tag = aClass.mFinishTags.find(aWorkspace);
  return tag == aClass.mFinishTags.end()
           ? aClass.mVirtualTime
           : std::max(tag->second, aClass.mVirtualTime);
}

std::size_t
admission_queue::NextClass(instant aNow) const
{
  std::optional<std::size_t> best;
  duration bestRank{};
  for (std::size_t index = 0; index < kClasses; ++index) {
    const urgency_class& each = mClasses[index];
    if (each.mCount == 0) {
      continue;
    }
    const duration rank = mSettings.mAgeingStep * static_cast<int>(index) -
                          (aNow - each.mLastServed);
    if (!best || rank < bestRank) {
      best = index;
      bestRank = rank;
    }
  }
  return best.value_or(0);
}

/** Returns the item for the next free slot. @pre At least one item waits. */
const admission_item&
admission_queue::NextToDispatch(instant aNow) const
{
  const urgency_class& from = mClasses[NextClass(aNow)];
  auto best = from.mWorkspaces.begin();
  auto bestKey =
    std::pair(StartTag(from, best->first), best->second.mItems.begin()->first);
  for (auto each = std::next(best); each != from.mWorkspaces.end(); ++each) {
    const auto key = std::pair(StartTag(from, each->first),
                               each->second.mItems.begin()->first);
    if (key < bestKey) {
      best = each;
      bestKey = key;
    }
  }
  return best->second.mItems.begin()->second;
}

/**
 * Returns the item that a full queue evicts for aItem: the item with the latest
 * deadline of the workspace that holds the most items for its weight in the
 * least urgent class. Null if aItem itself is the one to refuse.
 */
const admission_item*
admission_queue::EvictionCandidate(const admission_item& aItem) const
{
  const std::size_t own = ClassOf(aItem);
  std::size_t index = kClasses - 1;
  while (mClasses[index].mCount == 0 && index > own) {
    --index;
  }
  if (index < own || mClasses[index].mCount == 0) {
    return nullptr;
  }
  const auto itemsPerWeight = [&](const workspace_id& aWorkspace,
                                  const workspace_queue& aWaiting) {
    const bool includesNew = index == own && aWorkspace == aItem.mWorkspace;
    const auto count = static_cast<double>(aWaiting.mItems.size());
    return (count + (includesNew ? 1 : 0)) / aWaiting.mWeight;
  };
  const auto& workspaces = mClasses[index].mWorkspaces;
  const auto worst =
    std::max_element(workspaces.begin(),
                     workspaces.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return itemsPerWeight(aLeft.first, aLeft.second) <
                              itemsPerWeight(aRight.first, aRight.second);
                     });
  const admission_item& last = worst->second.mItems.rbegin()->second;
  const bool sameWorkspace = worst->first == aItem.mWorkspace;
  const bool newIsLast =
    index == own &&
    (sameWorkspace
       ? aItem.mDeadline >= last.mDeadline
       : 1 / aItem.mWeight >= itemsPerWeight(worst->first, worst->second));
  return newIsLast ? nullptr : &last;
}

/** Estimates how many items would be served before aItem if it arrived now. */
double
admission_queue::ItemsAhead(const admission_item& aItem) const
{
  const std::size_t index = ClassOf(aItem);
  double ahead = 0;
  for (std::size_t moreUrgent = 0; moreUrgent < index; ++moreUrgent) {
    ahead += static_cast<double>(mClasses[moreUrgent].mCount);
  }
  const auto& workspaces = mClasses[index].mWorkspaces;
  const auto own = workspaces.find(aItem.mWorkspace);
  double ownAhead = 0;
  if (own != workspaces.end()) {
    const auto& items = own->second.mItems;
    const auto place = items.lower_bound({ aItem.mDeadline, mSequence + 1 });
    ownAhead = static_cast<double>(std::distance(items.begin(), place));
  }
  for (const auto& [workspace, queue] : workspaces) {
    if (workspace != aItem.mWorkspace) {
      const auto count = static_cast<double>(queue.mItems.size());
      const double share = queue.mWeight / aItem.mWeight;
      ahead += std::min(count, (ownAhead + 1) * share);
    }
  }
  return ahead + ownAhead;
}

duration
admission_queue::WaitBehind(double aItemsAhead) const
{
  const auto running = static_cast<double>(mRunning.size());
  const double slots = mLimit.Slots();
  const double toFinish = aItemsAhead + 1 - std::max(0.0, slots - running);
  if (toFinish <= 0) {
    return duration(0);
  }
  const auto serviceTime = static_cast<double>(mLimit.ServiceTime().count());
  return duration(static_cast<duration::rep>(toFinish * serviceTime / slots));
}

duration
admission_queue::EstimatedWait(const admission_item& aItem) const
{
  return WaitBehind(ItemsAhead(aItem));
}

duration
admission_queue::EstimatedWait() const
{
  return WaitBehind(static_cast<double>(mWaiting.size()));
}

/** Time that must remain until the deadline at dispatch. */
duration
admission_queue::RequiredServiceTime() const
{
  return Fifo() ? duration(0) : mLimit.ServiceTime();
}

/** Whether an attempt dispatched at aNow is expected to miss its deadline. */
bool
admission_queue::TooLate(instant aDeadline, instant aNow) const
{
  return aNow + RequiredServiceTime() >= aDeadline;
}

std::optional<instant>
admission_queue::NextWake() const
{
  if (mDeadlines.empty()) {
    return std::nullopt;
  }
  return mDeadlines.begin()->first - RequiredServiceTime();
}

} // namespace monsooncroft::policy
