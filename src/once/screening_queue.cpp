/**
 * @file screening_queue.cpp
 * Turns of suspects.
 */
#include "once/screening_queue_base.h"

namespace monsooncroft::once {

screening_queue::screening_queue(std::size_t aMaxWaiting)
  : mMaxWaiting(aMaxWaiting)
{
}

enqueue_result
screening_queue::Enqueue(const std::string& aKey,
                         screening_id aTrial,
                         model::instant aDeadline)
{
  const auto [place, free] = mQueues.try_emplace(aKey);
  if (free) {
    return enqueue_result::Proceed;
  }
  if (mWaiting >= mMaxWaiting) {
    return enqueue_result::Full;
  }
  place->second.push_back({ aTrial, aDeadline });
  ++mWaiting;
  return enqueue_result::Wait;
}

std::optional<screening_id>
screening_queue::ReleaseTurn(const std::string& aKey)
{
  const auto place = mQueues.find(aKey);
  if (place == mQueues.end()) {
    return std::nullopt;
  }
  if (place->second.empty()) {
    mQueues.erase(place);
    return std::nullopt;
  }
  const screening_id next = place->second.front().mId;
  place->second.pop_front();
  --mWaiting;
  return next;
}

std::vector<screening_id>
screening_queue::RemoveExpired(model::instant aNow)
{
  std::vector<screening_id> out;
  for (auto& [key, queue] : mQueues) {
    std::erase_if(queue, [&](const waiting_request& aWaiting) {
      const bool late = aWaiting.mDeadline <= aNow;
      if (late) {
        out.push_back(aWaiting.mId);
      }
      return late;
    });
  }
  mWaiting -= out.size();
  return out;
}

} // namespace monsooncroft::once
