/**
 * @file link_state.cpp
 * Choosing and retiring the connections to one leaf.
 */
#include "link/link_state_base.h"

#include <algorithm>

namespace monsooncroft::link {

link_state::link_state(link_settings aSettings)
  : mSettings(aSettings)
{
}

std::size_t
link_state::Busy() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aIt) {
      return aIt.second.mBusy;
    }));
}

bool
link_state::InDoubt(const connection& aConnection) const
{
  return aConnection.mLastSign <= mDoubtBefore;
}

link_state::connections::iterator
link_state::FindFree()
{
  auto best = mConnections.end();
  for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
    const connection& one = it->second;
    if (one.mBusy || one.mRetired || InDoubt(one)) {
      continue;
    }
    if (best == mConnections.end() || one.mLastSign >= best->second.mLastSign) {
      best = it;
    }
  }
  return best;
}

pick
link_state::Pick(bool aIdempotent, model::instant aNow)
{
  pick out;
  const auto free = FindFree();
  if (free != mConnections.end()) {
    connection& chosen = free->second;
    const bool stale = aNow - chosen.mLastSign > mSettings.mProveAfter;
    out.mKind = stale && !aIdempotent ? pick_kind::Prove : pick_kind::Use;
    out.mConnection = free->first;
    chosen.mBusy = true;
    chosen.mSentAt = aNow;
    return out;
  }
  const auto limit = static_cast<std::size_t>(std::max(0, mSettings.mLimit));
  if (mConnections.size() >= limit) {
    // What is idle and still here is in doubt: a new one is worth more.
    const auto doubtful =
      std::find_if(mConnections.begin(),
                   mConnections.end(),
                   [](const auto& aEntry) { return !aEntry.second.mBusy; });
    if (doubtful == mConnections.end() || mConnections.size() > limit) {
      return out;
    }
    out.mClose.push_back(doubtful->first);
    mConnections.erase(doubtful);
  }
  out.mKind = pick_kind::Open;
  out.mConnection = ++mLastNumber;
  connection opened;
  opened.mSentAt = aNow;
  opened.mLastSign = aNow;
  mConnections.emplace(out.mConnection, opened);
  return out;
}

std::vector<connection_number>
link_state::OnProved(connection_number aConnection, model::instant aNow)
{
  std::vector<connection_number> close;
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return close;
  }
  found->second.mLastSign = aNow;
  found->second.mAlive = true;
  found->second.mSentAt = aNow;
  RetireDoubtful(close);
  return close;
}

bool
link_state::Keep(connection& aConnection,
                 exchange_end aEnd,
                 model::instant aNow)
{
  aConnection.mBusy = false;
  if (aEnd == exchange_end::Replied) {
    aConnection.mAlive = true;
    aConnection.mLastSign = aNow;
  }
  const bool whole =
    aEnd == exchange_end::Replied || aEnd == exchange_end::Unused;
  // An unused one that never replied may not even be open.
  return whole && aConnection.mAlive && !aConnection.mRetired;
}

std::vector<connection_number>
link_state::OnEnd(connection_number aConnection,
                  exchange_end aEnd,
                  model::instant aNow)
{
  std::vector<connection_number> close;
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return close;
  }
  if (aEnd == exchange_end::Silent) {
    mDoubtBefore = std::max(mDoubtBefore, found->second.mSentAt);
  }
  if (!Keep(found->second, aEnd, aNow)) {
    close.push_back(aConnection);
    mConnections.erase(found);
  }
  RetireDoubtful(close);
  CloseSurplus(close);
  return close;
}

void
link_state::RetireDoubtful(std::vector<connection_number>& aClose)
{
  connection_number alive = 0;
  for (const auto& [number, one] : mConnections) {
    if (one.mAlive && !InDoubt(one)) {
      alive = number;
    }
  }
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    const bool retire = it->first < alive && InDoubt(it->second);
    if (retire && !it->second.mBusy) {
      aClose.push_back(it->first);
      it = mConnections.erase(it);
      continue;
    }
    it->second.mRetired = it->second.mRetired || retire;
    ++it;
  }
}

void
link_state::CloseSurplus(std::vector<connection_number>& aClose)
{
  const auto limit = static_cast<std::size_t>(std::max(0, mSettings.mLimit));
  while (mConnections.size() > limit) {
    auto oldest = mConnections.end();
    for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
      const bool idle = !it->second.mBusy;
      if (idle && (oldest == mConnections.end() ||
                   it->second.mLastSign < oldest->second.mLastSign)) {
        oldest = it;
      }
    }
    if (oldest == mConnections.end()) {
      return;
    }
    aClose.push_back(oldest->first);
    mConnections.erase(oldest);
  }
}

std::vector<connection_number>
link_state::OnTimer(model::instant aNow)
{
  std::vector<connection_number> close;
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    const connection& one = it->second;
    if (!one.mBusy && aNow - one.mLastSign > mSettings.mIdleLimit) {
      close.push_back(it->first);
      it = mConnections.erase(it);
    } else {
      ++it;
    }
  }
  return close;
}

std::vector<connection_number>
link_state::SetLimit(int aLimit)
{
  std::vector<connection_number> close;
  mSettings.mLimit = aLimit;
  CloseSurplus(close);
  return close;
}

} // namespace monsooncroft::link
