/**
 * @file admission_queue.cpp
 * Order of an admission queue and its estimates.
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

/** In arrival order all items share one class and one tenant. */
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
                          const workspace_id& aTenant) const
{
  const auto used = aClass.mFinishTags.find(aTenant);
  return used == aClass.mFinishTags.end()
           ? aClass.mVirtualTime
           : std::max(used->second, aClass.mVirtualTime);
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

/** The item that the next free slot goes to. @pre Something waits. */
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
 * The item that a full queue gives up for aItem: of the least urgent class,
 * of the tenant that holds the most for its weight, the latest deadline.
 * Null if that is aItem itself.
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
  const auto held = [&](const workspace_id& aTenant,
                        const workspace_queue& aQueue) {
    const bool joins = index == own && aTenant == aItem.mWorkspace;
    const auto count = static_cast<double>(aQueue.mItems.size());
    return (count + (joins ? 1 : 0)) / aQueue.mWeight;
  };
  const auto& tenants = mClasses[index].mWorkspaces;
  const auto worst = std::max_element(
    tenants.begin(), tenants.end(), [&](const auto& aLeft, const auto& aRight) {
      return held(aLeft.first, aLeft.second) <
             held(aRight.first, aRight.second);
    });
  const admission_item& last = worst->second.mItems.rbegin()->second;
  const bool sameTenant = worst->first == aItem.mWorkspace;
  const bool newIsWorse =
    index == own &&
    (sameTenant ? aItem.mDeadline >= last.mDeadline
                : 1 / aItem.mWeight >= held(worst->first, worst->second));
  return newIsWorse ? nullptr : &last;
}

/** Items that would be served before aItem if it came now. */
double
admission_queue::ItemsAhead(const admission_item& aItem) const
{
  const std::size_t index = ClassOf(aItem);
  double ahead = 0;
  for (std::size_t above = 0; above < index; ++above) {
    ahead += static_cast<double>(mClasses[above].mCount);
  }
  const auto& tenants = mClasses[index].mWorkspaces;
  const auto own = tenants.find(aItem.mWorkspace);
  double before = 0;
  if (own != tenants.end()) {
    const auto& items = own->second.mItems;
    const auto place = items.lower_bound({ aItem.mDeadline, mSequence + 1 });
    before = static_cast<double>(std::distance(items.begin(), place));
  }
  for (const auto& [workspace, queue] : tenants) {
    if (workspace != aItem.mWorkspace) {
      const auto count = static_cast<double>(queue.mItems.size());
      const double share = queue.mWeight / aItem.mWeight;
      ahead += std::min(count, (before + 1) * share);
    }
  }
  return ahead + before;
}

duration
admission_queue::WaitBehind(double aAhead) const
{
  const auto running = static_cast<double>(mRunning.size());
  const double slots = mLimit.Slots();
  const double toEnd = aAhead + 1 - std::max(0.0, slots - running);
  if (toEnd <= 0) {
    return duration(0);
  }
  const auto service = static_cast<double>(mLimit.ServiceTime().count());
  return duration(static_cast<duration::rep>(toEnd * service / slots));
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

/** Time that must be left at dispatch. */
duration
admission_queue::RequiredServiceTime() const
{
  return Fifo() ? duration(0) : mLimit.ServiceTime();
}

/** Whether a slot granted at aNow would be wasted. */
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
