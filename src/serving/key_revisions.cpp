/**
 * @file key_revisions.cpp
 * Store revisions at which the entries of ranges of keys are known.
 */
#include "serving/key_revisions_type.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace monsooncroft::serving {

namespace {

using range = std::pair<const std::string, model::store_revision>;

bool
IsLower(const range& aLeft, const range& aRight)
{
  return aLeft.second < aRight.second;
}

} // namespace

model::store_revision
key_revisions::At(const std::string& aKey) const
{
  const auto next = mRanges.lower_bound(aKey);
  return next == mRanges.begin() ? next->second : std::prev(next)->second;
}

model::store_revision
key_revisions::Behind(const std::string& aStart) const
{
  return std::prev(mRanges.upper_bound(aStart))->second;
}

model::store_revision
key_revisions::Least() const
{
  return std::min_element(mRanges.begin(), mRanges.end(), IsLower)->second;
}

model::store_revision
key_revisions::Greatest() const
{
  return std::max_element(mRanges.begin(), mRanges.end(), IsLower)->second;
}

void
key_revisions::Split(const std::string& aStart)
{
  mRanges.try_emplace(aStart, Behind(aStart));
}

void
key_revisions::Raise(const std::string& aAfter,
                     const std::optional<std::string>& aLast,
                     model::store_revision aRevision)
{
  if (aLast && *aLast <= aAfter) {
    return;
  }
  Split(aAfter);
  if (aLast) {
    Split(*aLast);
  }
  const auto end = aLast ? mRanges.find(*aLast) : mRanges.end();
  for (auto range = mRanges.find(aAfter); range != end; ++range) {
    range->second = std::max(range->second, aRevision);
  }
  for (auto range = std::next(mRanges.begin()); range != mRanges.end();) {
    range = range->second == std::prev(range)->second ? mRanges.erase(range)
                                                      : std::next(range);
  }
}

void
key_revisions::Raise(const key_revisions& aOther)
{
  for (auto range = aOther.mRanges.begin(); range != aOther.mRanges.end();
       ++range) {
    const auto next = std::next(range);
    Raise(range->first,
          next == aOther.mRanges.end() ? std::nullopt
                                       : std::optional(next->first),
          range->second);
  }
}

template<class F>
bool
key_revisions::AnyPart(const key_revisions& aOther, F aMatches) const
{
  const auto matches = [&](const auto& aRange) {
    return aMatches(Behind(aRange.first), aOther.Behind(aRange.first));
  };
  return std::any_of(mRanges.begin(), mRanges.end(), matches) ||
         std::any_of(aOther.mRanges.begin(), aOther.mRanges.end(), matches);
}

bool
key_revisions::AnyBelow(const key_revisions& aOther) const
{
  return AnyPart(aOther, std::less<>());
}

bool
key_revisions::AllBelow(const key_revisions& aOther) const
{
  return !AnyPart(aOther, std::greater_equal<>());
}

} // namespace monsooncroft::serving
