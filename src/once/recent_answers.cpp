/**
 * @file recent_answers.cpp
 * Requests that services have answered a short time ago.
 */
#include "once/recent_answers_base.h"

#include <xxhash.h>

#include <utility>

namespace monsooncroft::once {

namespace {

/** Answers are remembered for one to two periods. */
constexpr std::chrono::seconds kPeriod{ 5 };
constexpr std::size_t kMaxAnswersPerPeriod = 4'096;

std::uint64_t
KeyOf(const content_hash& aContent, const model::service_id& aService)
{
  const std::string& service = aService.Value();
  return XXH3_64bits_withSeed(service.data(), service.size(), aContent.mLow);
}

} // namespace

void
recent_answers::Rotate(model::instant aNow)
{
  const auto age = aNow - mCurrentSince;
  if (age < kPeriod && mCurrent.size() < kMaxAnswersPerPeriod) {
    return;
  }
  std::swap(mPrevious, mCurrent);
  mCurrent.clear();
  if (age >= 2 * kPeriod) {
    mPrevious.clear();
  }
  mCurrentSince = aNow;
}

void
recent_answers::Add(const content_hash& aContent,
                    const model::service_id& aService,
                    model::instant aNow)
{
  Rotate(aNow);
  mCurrent.insert(KeyOf(aContent, aService));
}

bool
recent_answers::Contains(const content_hash& aContent,
                         const model::service_id& aService,
                         model::instant aNow) const
{
  const auto age = aNow - mCurrentSince;
  const std::uint64_t key = KeyOf(aContent, aService);
  return (age < 2 * kPeriod && mCurrent.contains(key)) ||
         (age < kPeriod && mPrevious.contains(key));
}

} // namespace monsooncroft::once
