/**
 * @file kv_store.cpp
 * The key-value table.
 */
#include "standin/kv_store.h"

namespace monsooncroft::standin {

namespace {

constexpr std::size_t kHistoryLength = 16; ///< Values kept for each key.

} // namespace

kv_value
kv_store::Get(const std::string& aKey, std::size_t aBack) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return {};
  }
  const auto& history = found->second.mHistory;
  if (aBack < history.size()) {
    return history[history.size() - 1 - aBack];
  }
  const bool complete = history.size() < kHistoryLength;
  return complete ? kv_value{} : history.front();
}

kv_write
kv_store::Cas(const std::string& aKey,
              revision aExpect,
              const std::string& aValue,
              const std::string& aLease)
{
  const revision present = Get(aKey).mRevision;
  const auto leased = mLeases.find(aLease);
  const bool leaseGone = !aLease.empty() && leased == mLeases.end();
  if (present != aExpect || leaseGone) {
    return { false, present };
  }
  entry& changed = mEntries[aKey];
  Detach(aKey, changed);
  if (!aLease.empty()) {
    leased->second.mKeys.insert(aKey);
    changed.mLease = aLease;
  }
  Change(changed, { changed.mLast + 1, aValue });
  return { true, changed.mLast };
}

kv_write
kv_store::Delete(const std::string& aKey, revision aExpect)
{
  const revision present = Get(aKey).mRevision;
  if (present != aExpect) {
    return { false, present };
  }
  if (present != 0) {
    entry& changed = mEntries[aKey];
    Detach(aKey, changed);
    Change(changed, {});
  }
  return { true, 0 };
}

std::string
kv_store::Grant(model::duration aTtl, model::instant aNow)
{
  std::string name = "lease-" + std::to_string(mNextLease++);
  mLeases[name] = { aTtl, aNow + aTtl, {} };
  return name;
}

bool
kv_store::KeepAlive(const std::string& aLease, model::instant aNow)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end() || found->second.mEnds <= aNow) {
    return false;
  }
  found->second.mEnds = aNow + found->second.mTtl;
  return true;
}

bool
kv_store::Revoke(const std::string& aLease, std::vector<std::string>& aChanged)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return false;
  }
  const std::set<std::string> keys = found->second.mKeys;
  for (const std::string& key : keys) {
    Delete(key, Get(key).mRevision);
    aChanged.push_back(key);
  }
  mLeases.erase(aLease);
  return true;
}

std::vector<std::string>
kv_store::Expire(model::instant aNow)
{
  std::vector<std::string> ended;
  for (const auto& [name, granted] : mLeases) {
    if (granted.mEnds <= aNow) {
      ended.push_back(name);
    }
  }
  std::vector<std::string> changed;
  for (const std::string& name : ended) {
    Revoke(name, changed);
  }
  return changed;
}

void
kv_store::Change(entry& aEntry, const kv_value& aValue)
{
  // Deleting takes a revision too, so that none is ever given twice.
  ++aEntry.mLast;
  aEntry.mHistory.push_back(aValue);
  if (aEntry.mHistory.size() > kHistoryLength) {
    aEntry.mHistory.pop_front();
  }
}

void
kv_store::Detach(const std::string& aKey, entry& aEntry)
{
  const auto found = mLeases.find(aEntry.mLease);
  if (found != mLeases.end()) {
    found->second.mKeys.erase(aKey);
  }
  aEntry.mLease.clear();
}

} // namespace monsooncroft::standin
