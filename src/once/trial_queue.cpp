/**
 * @file trial_queue.cpp
 * Turns of suspects.
 */
#include "once/trial_queue_base.h"

namespace monsooncroft::once {

trial_queue::trial_queue(std::size_t aMaxWaiting)
  : mMaxWaiting(aMaxWaiting)
{
}

trial_entry
trial_queue::Enter(const std::string& aKey,
                   trial_number aTrial,
                   model::instant aDeadline)
{
  const auto [place, free] = mKeys.try_emplace(aKey);
  if (free) {
    return trial_entry::Go;
  }
  if (mWaiting >= mMaxWaiting) {
    return trial_entry::Full;
  }
  place->second.push_back({ aTrial, aDeadline });
  ++mWaiting;
  return trial_entry::Wait;
}

std::optional<trial_number>
trial_queue::Leave(const std::string& aKey)
{
  const auto place = mKeys.find(aKey);
  if (place == mKeys.end()) {
    return std::nullopt;
  }
  if (place->second.empty()) {
    mKeys.erase(place);
    return std::nullopt;
  }
  const trial_number next = place->second.front().mTrial;
  place->second.pop_front();
  --mWaiting;
  return next;
}

std::vector<trial_number>
trial_queue::Expire(model::instant aNow)
{
  std::vector<trial_number> out;
  for (auto& [key, queue] : mKeys) {
    std::erase_if(queue, [&](const waiting& aWaiting) {
      const bool late = aWaiting.mDeadline <= aNow;
      if (late) {
        out.push_back(aWaiting.mTrial);
      }
      return late;
    });
  }
  mWaiting -= out.size();
  return out;
}

} // namespace monsooncroft::once
