/**
 * @file admission_queue_cmd.cpp
 * Events of an admission queue: everything that changes its state.
 */
#include "policy/admission_queue_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::attempt_id;
using model::instant;

namespace {

constexpr double kLeastWeight = 1e-3; ///< A declared weight counts at least so.

} // namespace

admission_queue::admission_queue(int aSlots, admission_settings aSettings)
  : mSettings(aSettings)
  , mLimit(aSlots, aSettings.mServiceGuess, aSettings.mAdaptive)
{
}

admission_effects
admission_queue::Offer(const admission_item& aItem, instant aNow)
{
  admission_effects out;
  admission_item item = aItem;
  item.mWeight = std::max(kLeastWeight, aItem.mWeight);
  if (mDraining) {
    out.emplace_back(refuse_effect{ item.mAttempt, refusal::Draining });
    return out;
  }
  // An idle leaf takes anything not yet late, so that a service estimate
  // that is too high can be corrected.
  const bool idle = mRunning.empty() && mWaiting.empty();
  const bool fifo = mSettings.mMode == admission_mode::Fifo;
  const instant start = idle || fifo ? aNow : aNow + EstimatedWait(item);
  const bool late = idle ? aNow >= item.mDeadline : TooLate(item, start);
  if (late) {
    out.emplace_back(refuse_effect{ item.mAttempt, refusal::TooLate });
    return out;
  }
  if (idle) {
    Charge(item, aNow);
    mRunning.insert(item.mAttempt);
    out.emplace_back(dispatch_effect{ item.mAttempt });
    return out;
  }
  ExpireWaiting(aNow, out);
  if (MakeRoom(item, out)) {
    Enqueue(item, aNow);
    Fill(aNow, out);
  }
  return out;
}

admission_effects
admission_queue::OnDone(const attempt_id& aAttempt,
                        model::attempt_outcome aOutcome,
                        model::duration aService,
                        instant aNow)
{
  admission_effects out;
  if (mRunning.erase(aAttempt) == 0) {
    return out;
  }
  mLimit.OnDone(aOutcome, aService, aNow);
  ExpireWaiting(aNow, out);
  Fill(aNow, out);
  return out;
}

admission_effects
admission_queue::OnCancel(const attempt_id& aAttempt)
{
  admission_effects out;
  const auto found =
    std::find_if(mWaiting.begin(), mWaiting.end(), [&](const waiting& aEntry) {
      return aEntry.mItem.mAttempt == aAttempt;
    });
  if (found != mWaiting.end()) {
    Take(found);
    out.emplace_back(refuse_effect{ aAttempt, refusal::Cancelled });
  }
  return out;
}

admission_effects
admission_queue::OnTimer(instant aNow)
{
  admission_effects out;
  ExpireWaiting(aNow, out);
  Fill(aNow, out);
  return out;
}

admission_effects
admission_queue::SetDraining(bool aDraining)
{
  admission_effects out;
  mDraining = aDraining;
  while (mDraining && !mWaiting.empty()) {
    const attempt_id attempt = mWaiting.front().mItem.mAttempt;
    Take(mWaiting.begin());
    out.emplace_back(refuse_effect{ attempt, refusal::Draining });
  }
  return out;
}

admission_effects
admission_queue::SetSlots(int aSlots, instant aNow)
{
  admission_effects out;
  mLimit.SetDeclared(aSlots);
  Fill(aNow, out);
  return out;
}

void
admission_queue::Fill(instant aNow, admission_effects& aOut)
{
  const auto slots = static_cast<std::size_t>(mLimit.Slots());
  while (!mWaiting.empty() && mRunning.size() < slots) {
    const auto best = Best(aNow);
    const admission_item item = best->mItem;
    Take(best);
    if (TooLate(item, aNow)) {
      aOut.emplace_back(refuse_effect{ item.mAttempt, refusal::TooLate });
      continue;
    }
    Charge(item, aNow);
    mRunning.insert(item.mAttempt);
    aOut.emplace_back(dispatch_effect{ item.mAttempt });
  }
}

void
admission_queue::Enqueue(const admission_item& aItem, instant aNow)
{
  urgency_class& own = mClasses[ClassOf(aItem)];
  if (own.mCount == 0) {
    own.mServed = aNow;
  }
  ++own.mCount;
  mWaiting.push_back(waiting{ aItem, ++mSequence });
}

bool
admission_queue::MakeRoom(const admission_item& aItem, admission_effects& aOut)
{
  if (mWaiting.size() < mSettings.mQueueLimit) {
    return true;
  }
  const bool fifo = mSettings.mMode == admission_mode::Fifo;
  const auto worst = fifo ? mWaiting.end() : Worst(aItem);
  if (worst == mWaiting.end()) {
    aOut.emplace_back(refuse_effect{ aItem.mAttempt, refusal::QueueFull });
    return false;
  }
  const attempt_id evicted = worst->mItem.mAttempt;
  Take(worst);
  aOut.emplace_back(refuse_effect{ evicted, refusal::Evicted });
  return true;
}

void
admission_queue::ExpireWaiting(instant aNow, admission_effects& aOut)
{
  for (auto each = mWaiting.begin(); each != mWaiting.end();) {
    if (!TooLate(each->mItem, aNow)) {
      ++each;
      continue;
    }
    const attempt_id late = each->mItem.mAttempt;
    const auto index = each - mWaiting.begin();
    Take(each);
    each = mWaiting.begin() + index;
    aOut.emplace_back(refuse_effect{ late, refusal::TooLate });
  }
}

void
admission_queue::Take(queue::iterator aItem)
{
  --mClasses[ClassOf(aItem->mItem)].mCount;
  mWaiting.erase(aItem);
}

/** Counts a dispatch against the tenant's share of its class. */
void
admission_queue::Charge(const admission_item& aItem, instant aNow)
{
  urgency_class& own = mClasses[ClassOf(aItem)];
  const double start = Used(aItem);
  own.mServed = aNow;
  own.mVirtualTime = std::max(own.mVirtualTime, start);
  own.mUsed[aItem.mTenant] = start + 1 / aItem.mWeight;
  std::erase_if(own.mUsed, [&](const auto& aEntry) {
    return aEntry.second <= own.mVirtualTime;
  });
}

} // namespace monsooncroft::policy
