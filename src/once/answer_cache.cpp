/**
 * @file answer_cache.cpp
 * Registers running requests and stores the answers of finished ones.
 */
#include "once/answer_cache_base.h"

namespace monsooncroft::once {

namespace {

std::size_t
BytesOf(const model::answer& aAnswer)
{
  std::size_t bytes = sizeof(aAnswer) + aAnswer.mResults.size();
  for (const model::coverage_name& name : aAnswer.mCoverage.mMissing) {
    bytes += sizeof(name) + name.Value().size();
  }
  return bytes;
}

} // namespace

answer_cache::answer_cache(answer_cache_settings aSettings)
  : mSettings(aSettings)
{
}

std::optional<arrival_result>
answer_cache::Find(const request_hash& aRequest,
                   const content_hash& aContent,
                   model::instant aNow)
{
  Evict(aNow);
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return std::nullopt;
  }
  const request_state& known = found->second;
  if (known.mContent != aContent) {
    return arrival_result{ arrival_kind::IdReused, std::nullopt };
  }
  const bool running = !known.mAnswer;
  return arrival_result{ running ? arrival_kind::Running : arrival_kind::Stored,
                         known.mAnswer };
}

arrival_result
answer_cache::Register(const request_hash& aRequest,
                       const content_hash& aContent,
                       model::instant aNow)
{
  if (auto known = Find(aRequest, aContent, aNow)) {
    return *known;
  }
  if (RunningCount() >= mSettings.mMaxRunning) {
    return { arrival_kind::Full, std::nullopt };
  }
  mRequests[aRequest].mContent = aContent;
  return { arrival_kind::FirstSend, std::nullopt };
}

void
answer_cache::Finish(const request_hash& aRequest,
                     const model::answer& aAnswer,
                     model::instant aNow)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || found->second.mAnswer) {
    return;
  }
  if (aAnswer.mStatus == model::status::NotRun) {
    mRequests.erase(found);
    return;
  }
  found->second.mAnswer = aAnswer;
  found->second.mFinishedAt = aNow;
  mFinishedOrder.push_back(aRequest);
  mBytes += BytesOf(aAnswer);
  Evict(aNow);
}

void
answer_cache::Evict(model::instant aNow)
{
  while (!mFinishedOrder.empty()) {
    const auto oldest = mRequests.find(mFinishedOrder.front());
    const bool expired = oldest->second.mFinishedAt + mSettings.mMaxAge <= aNow;
    const bool overLimit = mFinishedOrder.size() > mSettings.mMaxFinished ||
                           mBytes > mSettings.mMaxBytes;
    if (!expired && !overLimit) {
      return;
    }
    mBytes -= BytesOf(*oldest->second.mAnswer);
    mRequests.erase(oldest);
    mFinishedOrder.pop_front();
  }
}

} // namespace monsooncroft::once
