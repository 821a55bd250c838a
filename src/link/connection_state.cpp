/**
 * @file connection_state.cpp
 * Selection and closing of the connections to one leaf.
 */
#include "link/connection_state_base.h"

#include <algorithm>

namespace monsooncroft::link {

connection_state::connection_state(connection_settings aSettings)
  : mSettings(aSettings)
{
}

std::size_t
connection_state::Busy() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aIt) {
      return aIt.second.mBusy;
    }));
}

bool
connection_state::IsSuspect(const connection& aConnection) const
{
  return aConnection.mLastReply <= mSuspectBefore;
}

connection_state::connections::iterator
connection_state::FindFree()
{
  auto best = mConnections.end();
  for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
    const connection& candidate = it->second;
    if (candidate.mBusy || candidate.mRetired || IsSuspect(candidate)) {
      continue;
    }
    if (best == mConnections.end() ||
        candidate.mLastReply >= best->second.mLastReply) {
      best = it;
    }
  }
  return best;
}

connection_choice
connection_state::Choose(bool aIdempotent, model::instant aNow)
{
  connection_choice out;
  const auto free = FindFree();
  if (free != mConnections.end()) {
    connection& chosen = free->second;
    const bool stale = aNow - chosen.mLastReply > mSettings.mVerifyAfter;
    out.mKind = stale && !aIdempotent ? choice_kind::Verify : choice_kind::Use;
    out.mConnection = free->first;
    chosen.mBusy = true;
    chosen.mSentAt = aNow;
    return out;
  }
  const auto limit = static_cast<std::size_t>(std::max(0, mSettings.mLimit));
  if (mConnections.size() >= limit) {
    // Every idle connection left is suspect: a new one replaces it.
    const auto suspect =
      std::find_if(mConnections.begin(),
                   mConnections.end(),
                   [](const auto& aEntry) { return !aEntry.second.mBusy; });
    if (suspect == mConnections.end() || mConnections.size() > limit) {
      return out;
    }
    out.mClose.push_back(suspect->first);
    mConnections.erase(suspect);
  }
  out.mKind = choice_kind::Open;
  out.mConnection = ++mLastNumber;
  connection opened;
  opened.mSentAt = aNow;
  opened.mLastReply = aNow;
  mConnections.emplace(out.mConnection, opened);
  return out;
}

std::vector<connection_number>
connection_state::OnVerified(connection_number aConnection, model::instant aNow)
{
  std::vector<connection_number> close;
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return close;
  }
  found->second.mLastReply = aNow;
  found->second.mHasReplied = true;
  found->second.mSentAt = aNow;
  RetireSuspect(close);
  return close;
}

bool
connection_state::RecordEnd(connection& aConnection,
                            exchange_end aEnd,
                            model::instant aNow)
{
  aConnection.mBusy = false;
  if (aEnd == exchange_end::Replied) {
    aConnection.mHasReplied = true;
    aConnection.mLastReply = aNow;
  }
  const bool reusable =
    aEnd == exchange_end::Replied || aEnd == exchange_end::Unused;
  // An unused connection that never replied may not be open.
  return reusable && aConnection.mHasReplied && !aConnection.mRetired;
}

std::vector<connection_number>
connection_state::OnEnd(connection_number aConnection,
                        exchange_end aEnd,
                        model::instant aNow)
{
  std::vector<connection_number> close;
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return close;
  }
  if (aEnd == exchange_end::NoReply) {
    mSuspectBefore = std::max(mSuspectBefore, found->second.mSentAt);
  }
  if (!RecordEnd(found->second, aEnd, aNow)) {
    close.push_back(aConnection);
    mConnections.erase(found);
  }
  RetireSuspect(close);
  CloseSurplus(close);
  return close;
}

void
connection_state::RetireSuspect(std::vector<connection_number>& aClose)
{
  connection_number newestReplied = 0;
  for (const auto& [number, candidate] : mConnections) {
    if (candidate.mHasReplied && !IsSuspect(candidate)) {
      newestReplied = number;
    }
  }
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    const bool retire = it->first < newestReplied && IsSuspect(it->second);
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
connection_state::CloseSurplus(std::vector<connection_number>& aClose)
{
  const auto limit = static_cast<std::size_t>(std::max(0, mSettings.mLimit));
  while (mConnections.size() > limit) {
    auto oldest = mConnections.end();
    for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
      const bool idle = !it->second.mBusy;
      if (idle && (oldest == mConnections.end() ||
                   it->second.mLastReply < oldest->second.mLastReply)) {
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
connection_state::OnTimer(model::instant aNow)
{
  std::vector<connection_number> close;
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    const connection& candidate = it->second;
    if (!candidate.mBusy &&
        aNow - candidate.mLastReply > mSettings.mIdleLimit) {
      close.push_back(it->first);
      it = mConnections.erase(it);
    } else {
      ++it;
    }
  }
  return close;
}

std::vector<connection_number>
connection_state::SetLimit(int aLimit)
{
  std::vector<connection_number> close;
  mSettings.mLimit = aLimit;
  CloseSurplus(close);
  return close;
}

} // namespace monsooncroft::link
