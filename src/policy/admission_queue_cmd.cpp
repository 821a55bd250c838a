/**
 * @file admission_queue_cmd.cpp
 * Event handlers of an admission queue; all changes of its state are here.
 */
#include "policy/admission_queue_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::attempt_id;
using model::instant;
using model::workspace_id;

namespace {

/** Lower bound of a weight, which is a divisor. */
constexpr double kMinWeight = 1e-3;

} // namespace

admission_queue::admission_queue(int aSlots, admission_settings aSettings)
  : mSettings(aSettings)
  , mLimit(aSlots, aSettings.mInitialServiceTime, aSettings.mAdaptive)
{
}

admission_effects
admission_queue::Offer(const admission_item& aItem, instant aNow)
{
  admission_effects out;
  if (mWaiting.count(aItem.mAttempt) != 0 ||
      mRunning.count(aItem.mAttempt) != 0) {
    return out; // Already waiting or running: the first offer stands.
  }
  admission_item item = aItem;
  item.mWeight = std::max(kMinWeight, aItem.mWeight);
  if (mDraining) {
    out.emplace_back(refuse_effect{ item.mAttempt, refusal::Draining });
    return out;
  }
  // An idle leaf accepts every attempt whose deadline has not passed, so that
  // new samples can correct a service time estimate that is too high.
  const bool idle = mRunning.empty() && mWaiting.empty();
  const instant start = Fifo() ? aNow : aNow + EstimatedWait(item);
  const bool late =
    idle ? aNow >= item.mDeadline : TooLate(item.mDeadline, start);
  if (late) {
    out.emplace_back(refuse_effect{ item.mAttempt, refusal::TooLate });
    return out;
  }
  if (idle) {
    Dispatch(item, aNow, out);
    return out;
  }
  ExpireWaiting(aNow, out);
  if (MakeRoom(item, out)) {
    Enqueue(item, aNow);
    DispatchWaiting(aNow, out);
  }
  return out;
}

admission_effects
admission_queue::OnDone(const attempt_id& aAttempt,
                        model::attempt_outcome aOutcome,
                        model::duration aServiceTime,
                        instant aNow)
{
  admission_effects out;
  const auto running = mRunning.find(aAttempt);
  if (running == mRunning.end()) {
    return out;
  }
  mLimit.OnDone(aOutcome, aServiceTime, running->second);
  mRunning.erase(running);
  ExpireWaiting(aNow, out);
  DispatchWaiting(aNow, out);
  return out;
}

admission_effects
admission_queue::OnCancel(const attempt_id& aAttempt)
{
  admission_effects out;
  if (mWaiting.count(aAttempt) != 0) {
    RemoveWaiting(aAttempt);
    out.emplace_back(refuse_effect{ aAttempt, refusal::Cancelled });
  }
  return out;
}

admission_effects
admission_queue::OnTimer(instant aNow)
{
  admission_effects out;
  ExpireWaiting(aNow, out);
  DispatchWaiting(aNow, out);
  return out;
}

admission_effects
admission_queue::SetDraining(bool aDraining)
{
  admission_effects out;
  mDraining = aDraining;
  while (mDraining && !mDeadlines.empty()) {
    const attempt_id attempt = mDeadlines.begin()->second;
    RemoveWaiting(attempt);
    out.emplace_back(refuse_effect{ attempt, refusal::Draining });
  }
  return out;
}

admission_effects
admission_queue::SetSlots(int aSlots, instant aNow)
{
  admission_effects out;
  mLimit.SetDeclared(aSlots);
  DispatchWaiting(aNow, out);
  return out;
}

void
admission_queue::DispatchWaiting(instant aNow, admission_effects& aEffects)
{
  const auto slots = static_cast<std::size_t>(mLimit.Slots());
  while (!mWaiting.empty() && mRunning.size() < slots) {
    const admission_item item = NextToDispatch(aNow);
    RemoveWaiting(item.mAttempt);
    if (TooLate(item.mDeadline, aNow)) {
      aEffects.emplace_back(refuse_effect{ item.mAttempt, refusal::TooLate });
      continue;
    }
    Dispatch(item, aNow, aEffects);
  }
}

void
admission_queue::Dispatch(const admission_item& aItem,
                          instant aNow,
                          admission_effects& aEffects)
{
  Charge(aItem, aNow);
  mRunning.emplace(aItem.mAttempt, static_cast<int>(mRunning.size()) + 1);
  aEffects.emplace_back(dispatch_effect{ aItem.mAttempt });
}

void
admission_queue::Enqueue(const admission_item& aItem, instant aNow)
{
  const std::size_t index = ClassOf(aItem);
  urgency_class& own = mClasses[index];
  if (own.mCount == 0) {
    own.mLastServed = aNow;
  }
  ++own.mCount;
  const queue_key at{ Fifo() ? instant() : aItem.mDeadline, ++mSequence };
  workspace_queue& queue = own.mWorkspaces[WorkspaceOf(aItem)];
  queue.mWeight = aItem.mWeight;
  queue.mItems.emplace(at, aItem);
  mWaiting.emplace(
    aItem.mAttempt,
    waiting_entry{ index, WorkspaceOf(aItem), at, aItem.mDeadline });
  mDeadlines.emplace(aItem.mDeadline, aItem.mAttempt);
}

bool
admission_queue::MakeRoom(const admission_item& aItem,
                          admission_effects& aEffects)
{
  if (mWaiting.size() < mSettings.mQueueLimit) {
    return true;
  }
  const admission_item* const worst =
    Fifo() ? nullptr : EvictionCandidate(aItem);
  if (worst == nullptr) {
    aEffects.emplace_back(refuse_effect{ aItem.mAttempt, refusal::QueueFull });
    return false;
  }
  const attempt_id evicted = worst->mAttempt;
  RemoveWaiting(evicted);
  aEffects.emplace_back(refuse_effect{ evicted, refusal::Evicted });
  return true;
}

void
admission_queue::ExpireWaiting(instant aNow, admission_effects& aEffects)
{
  while (!mDeadlines.empty() && TooLate(mDeadlines.begin()->first, aNow)) {
    const attempt_id late = mDeadlines.begin()->second;
    RemoveWaiting(late);
    aEffects.emplace_back(refuse_effect{ late, refusal::TooLate });
  }
}

/** Removes an attempt from the queue. @pre The attempt is waiting. */
void
admission_queue::RemoveWaiting(const attempt_id& aAttempt)
{
  const auto found = mWaiting.find(aAttempt);
  const waiting_entry& at = found->second;
  urgency_class& own = mClasses[at.mClass];
  const auto queue = own.mWorkspaces.find(at.mWorkspace);
  queue->second.mItems.erase(at.mKey);
  if (queue->second.mItems.empty()) {
    own.mWorkspaces.erase(queue);
  }
  --own.mCount;
  mDeadlines.erase({ at.mDeadline, found->first });
  mWaiting.erase(found);
}

/** Charges a dispatch to the workspace's share of its urgency class. */
void
admission_queue::Charge(const admission_item& aItem, instant aNow)
{
  urgency_class& own = mClasses[ClassOf(aItem)];
  const workspace_id workspace = WorkspaceOf(aItem);
  const double start = StartTag(own, workspace);
  own.mLastServed = aNow;
  own.mVirtualTime = std::max(own.mVirtualTime, start);
  own.mFinishTags[workspace] = start + 1 / aItem.mWeight;
  std::erase_if(own.mFinishTags, [&](const auto& aEntry) {
    return aEntry.second <= own.mVirtualTime;
  });
}

} // namespace monsooncroft::policy
