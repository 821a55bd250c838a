/**
 * @file answer_memory.cpp
 * Running and finished requests.
 */
#include "once/answer_memory_base.h"

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

answer_memory::answer_memory(answer_memory_settings aSettings)
  : mSettings(aSettings)
{
}

std::optional<arrival_result>
answer_memory::Find(const request_hash& aRequest,
                    const content_hash& aContent,
                    model::instant aNow)
{
  Evict(aNow);
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return std::nullopt;
  }
  const item& known = found->second;
  if (known.mContent != aContent) {
    return arrival_result{ arrival::Reused, std::nullopt };
  }
  const bool running = !known.mAnswer;
  return arrival_result{ running ? arrival::Running : arrival::Stored,
                         known.mAnswer };
}

arrival_result
answer_memory::Arrive(const request_hash& aRequest,
                      const content_hash& aContent,
                      model::instant aNow)
{
  if (auto known = Find(aRequest, aContent, aNow)) {
    return *known;
  }
  if (Running() >= mSettings.mMaxRunning) {
    return { arrival::Full, std::nullopt };
  }
  mRequests[aRequest].mContent = aContent;
  return { arrival::First, std::nullopt };
}

void
answer_memory::Finish(const request_hash& aRequest,
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
  mOrder.push_back(aRequest);
  mBytes += BytesOf(aAnswer);
  Evict(aNow);
}

void
answer_memory::Evict(model::instant aNow)
{
  while (!mOrder.empty()) {
    const auto oldest = mRequests.find(mOrder.front());
    const bool old = oldest->second.mFinishedAt + mSettings.mMaxAge <= aNow;
    const bool over =
      mOrder.size() > mSettings.mMaxFinished || mBytes > mSettings.mMaxBytes;
    if (!old && !over) {
      return;
    }
    mBytes -= BytesOf(*oldest->second.mAnswer);
    mRequests.erase(oldest);
    mOrder.pop_front();
  }
}

} // namespace monsooncroft::once
