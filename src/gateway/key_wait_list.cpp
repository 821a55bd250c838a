/**
 * @file key_wait_list.cpp
 * Requests that wait for a configuration with their API key.
 */
#include "gateway/key_wait_list_base.h"

#include "gateway/event_loop_base.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace monsooncroft::gateway {

key_wait_list::key_wait_list(event_loop& aLoop, resume aResume)
  : mResume(std::move(aResume))
  , mTimer(aLoop, [this] { OnTimer(); })
{
}

void
key_wait_list::Add(exchange_ptr aExchange,
                   model::instant aUntil,
                   model::instant aNow)
{
  aExchange->OnCallerLeft([this, left = aExchange.get()] {
    std::erase_if(mEntries, [&](const entry& aEntry) {
      return aEntry.mExchange.get() == left;
    });
  });
  mEntries.push_back({ std::move(aExchange), aUntil, aNow });
  StartTimer(aNow);
}

void
key_wait_list::ResumeAll()
{
  if (!mEntries.empty()) {
    mResumesAll = true;
    mTimer.Start(model::duration(0));
  }
}

void
key_wait_list::EndAddedUntil(model::instant aAddedUntil, model::instant aNow)
{
  for (entry& each : mEntries) {
    if (each.mAddedAt <= aAddedUntil) {
      each.mUntil = std::min(each.mUntil, aNow);
    }
  }
  StartTimer(aNow);
}

void
key_wait_list::StartTimer(model::instant aNow)
{
  const auto first = std::min_element(
    mEntries.begin(), mEntries.end(), [](const entry& aOne, const entry& aTwo) {
      return aOne.mUntil < aTwo.mUntil;
    });
  if (mResumesAll) {
    mTimer.Start(model::duration(0));
  } else if (first != mEntries.end()) {
    mTimer.Start(first->mUntil - aNow);
  }
}

void
key_wait_list::OnTimer()
{
  const model::instant now = event_loop::Now();
  const bool all = std::exchange(mResumesAll, false);
  const auto due = std::stable_partition(
    mEntries.begin(), mEntries.end(), [&](const entry& aEntry) {
      return !all && now < aEntry.mUntil;
    });
  std::vector<entry> resumed(std::make_move_iterator(due),
                             std::make_move_iterator(mEntries.end()));
  mEntries.erase(due, mEntries.end());
  for (const entry& each : resumed) {
    each.mExchange->OnCallerLeft(nullptr);
  }
  for (const entry& each : resumed) {
    if (!each.mExchange->CallerLeft()) {
      mResume(each.mExchange, each.mUntil);
    }
  }
  StartTimer(now);
}

} // namespace monsooncroft::gateway
