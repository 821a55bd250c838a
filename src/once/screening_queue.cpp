/**
 * @file screening_queue.cpp
 * Turns of requests that are screened.
 */
#include "once/screening_queue_base.h"

namespace monsooncroft::once {

screening_queue::screening_queue(std::size_t aMaxWaiting)
  : mMaxWaiting(aMaxWaiting)
{
}

enqueue_result
screening_queue::Enqueue(const std::string& aKey,
                         screening_id aId,
                         model::instant aDeadline)
{
  const auto [position, free] = mQueues.try_emplace(aKey);
  if (free) {
    return enqueue_result::Proceed;
  }
  if (mWaiting >= mMaxWaiting) {
    return enqueue_result::Full;
  }
  position->second.push_back({ aId, aDeadline });
  ++mWaiting;
  return enqueue_result::Wait;
}

std::optional<screening_id>
screening_queue::ReleaseTurn(const std::string& aKey)
{
  const auto position = mQueues.find(aKey);
  if (position == mQueues.end()) {
    return std::nullopt;
  }
  if (position->second.empty()) {
    mQueues.erase(position);
    return std::nullopt;
  }
  const screening_id next = position->second.front().mId;
  position->second.pop_front();
  --mWaiting;
  return next;
}

std::vector<screening_id>
screening_queue::RemoveExpired(model::instant aNow)
{
  std::vector<screening_id> out;
  for (auto& [key, queue] : mQueues) {
    std::erase_if(queue, [&](const waiting_request& aWaiting) {
      const bool expired = aWaiting.mDeadline <= aNow;
      if (expired) {
        out.push_back(aWaiting.mId);
      }
      return expired;
    });
  }
  mWaiting -= out.size();
  return out;
}

} // namespace monsooncroft::once
