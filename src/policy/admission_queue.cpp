/**
 * @file admission_queue.cpp
 * Order of an admission queue and its estimates.
 */
#include "policy/admission_queue_base.h"

#include <algorithm>
#include <tuple>

namespace monsooncroft::policy {

using model::duration;
using model::instant;

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

std::size_t
admission_queue::ClassOf(const admission_item& aItem)
{
  return static_cast<std::size_t>(aItem.mUrgency);
}

double
admission_queue::Used(const admission_item& aItem) const
{
  const urgency_class& own = mClasses[ClassOf(aItem)];
  const auto used = own.mUsed.find(aItem.mTenant);
  return used == own.mUsed.end() ? own.mVirtualTime
                                 : std::max(used->second, own.mVirtualTime);
}

std::size_t
admission_queue::BestClass(instant aNow) const
{
  std::optional<std::size_t> best;
  duration bestRank{};
  for (std::size_t index = 0; index < kClasses; ++index) {
    const urgency_class& each = mClasses[index];
    if (each.mCount == 0) {
      continue;
    }
    const duration rank =
      mSettings.mAgeingStep * static_cast<int>(index) - (aNow - each.mServed);
    if (!best || rank < bestRank) {
      best = index;
      bestRank = rank;
    }
  }
  return best.value_or(0);
}

bool
admission_queue::GoesBefore(const waiting& aLeft, const waiting& aRight) const
{
  const auto key = [this](const waiting& aEntry) {
    return std::make_tuple(
      Used(aEntry.mItem), aEntry.mItem.mDeadline, aEntry.mSequence);
  };
  return key(aLeft) < key(aRight);
}

admission_queue::queue::iterator
admission_queue::Best(instant aNow)
{
  if (mSettings.mMode == admission_mode::Fifo) {
    return mWaiting.begin();
  }
  const std::size_t wanted = BestClass(aNow);
  auto best = mWaiting.end();
  for (auto each = mWaiting.begin(); each != mWaiting.end(); ++each) {
    const bool candidate = ClassOf(each->mItem) == wanted;
    if (candidate && (best == mWaiting.end() || GoesBefore(*each, *best))) {
      best = each;
    }
  }
  return best;
}

/** The item that a full queue gives up for aItem; end if that is aItem. */
admission_queue::queue::iterator
admission_queue::Worst(const admission_item& aItem)
{
  std::map<std::pair<std::size_t, model::tenant_id>, double> held;
  held[{ ClassOf(aItem), aItem.mTenant }] += 1 / aItem.mWeight;
  for (const waiting& each : mWaiting) {
    held[{ ClassOf(each.mItem), each.mItem.mTenant }] += 1 / each.mItem.mWeight;
  }
  const auto key = [&](const admission_item& aEach) {
    const std::size_t index = ClassOf(aEach);
    return std::make_tuple(
      index, held.at({ index, aEach.mTenant }), aEach.mDeadline);
  };
  auto worst = mWaiting.end();
  auto worstKey = key(aItem);
  for (auto each = mWaiting.begin(); each != mWaiting.end(); ++each) {
    const auto eachKey = key(each->mItem);
    if (eachKey > worstKey) {
      worst = each;
      worstKey = eachKey;
    }
  }
  return worst;
}

/** Items that would be served before aItem if it came now. */
double
admission_queue::Ahead(const admission_item& aItem) const
{
  double ahead = 0;
  double own = 1;
  std::map<model::tenant_id, std::pair<double, double>> others;
  for (const waiting& each : mWaiting) {
    const std::size_t index = ClassOf(each.mItem);
    if (index < ClassOf(aItem)) {
      ahead += 1;
    } else if (index > ClassOf(aItem)) {
      continue;
    } else if (each.mItem.mTenant != aItem.mTenant) {
      auto& [count, weight] = others[each.mItem.mTenant];
      count += 1;
      weight = each.mItem.mWeight;
    } else if (each.mItem.mDeadline <= aItem.mDeadline) {
      own += 1;
    }
  }
  for (const auto& [tenant, other] : others) {
    const auto& [count, weight] = other;
    ahead += std::min(count, own * weight / aItem.mWeight);
  }
  return ahead + own - 1;
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
  const auto service = static_cast<double>(mLimit.Service().count());
  return duration(static_cast<duration::rep>(toEnd * service / slots));
}

duration
admission_queue::EstimatedWait(const admission_item& aItem) const
{
  return WaitBehind(Ahead(aItem));
}

duration
admission_queue::EstimatedWait() const
{
  return WaitBehind(static_cast<double>(mWaiting.size()));
}

/** Whether a slot granted at aNow would be wasted on aItem. */
bool
admission_queue::TooLate(const admission_item& aItem, instant aNow) const
{
  const bool fifo = mSettings.mMode == admission_mode::Fifo;
  const duration needed = fifo ? duration(0) : mLimit.Service();
  return aNow + needed >= aItem.mDeadline;
}

std::optional<instant>
admission_queue::NextWake() const
{
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  const bool fifo = mSettings.mMode == admission_mode::Fifo;
  const duration needed = fifo ? duration(0) : mLimit.Service();
  const auto earliest =
    std::min_element(mWaiting.begin(),
                     mWaiting.end(),
                     [](const waiting& aLeft, const waiting& aRight) {
                       return aLeft.mItem.mDeadline < aRight.mItem.mDeadline;
                     });
  return earliest->mItem.mDeadline - needed;
}

} // namespace monsooncroft::policy
