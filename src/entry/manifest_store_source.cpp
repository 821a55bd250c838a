/**
 * @file manifest_store_source.cpp
 * Reading heads and chunks from the platform.
 */
#include "entry/manifest_store_source_base.h"

#include "store/head_json_func.h"
#include "store/head_type.h"
#include "store/key_value_service_base.h"

namespace monsooncroft::entry {

namespace {

constexpr std::chrono::milliseconds kWatchWait{ 20000 };
/** Keys remembered before those of old heads are dropped. */
constexpr std::size_t kMaxKeys = 20000;

} // namespace

manifest_store_source::manifest_store_source(store::key_value_service& aStore)
  : mStore(aStore)
{
}

cluster::head_answer
manifest_store_source::ReadHead()
{
  return ToAnswer(mStore.Get(store::kHeadKey), false);
}

cluster::head_answer
manifest_store_source::WatchHead()
{
  store::revision after = 0;
  {
    const std::lock_guard lock(mMutex);
    after = mSeen;
  }
  return ToAnswer(mStore.Watch(store::kHeadKey, after, kWatchWait), true);
}

cluster::head_answer
manifest_store_source::ToAnswer(const store::read_outcome& aOutcome,
                                bool aWatch)
{
  using outcome = cluster::head_answer::outcome;
  if (aOutcome.mStatus == store::store_status::NotFound) {
    return { outcome::Absent, "" };
  }
  if (aOutcome.mStatus != store::store_status::Ok) {
    return { outcome::Failed, "" };
  }
  const std::lock_guard lock(mMutex);
  const bool changed = aOutcome.mRevision > mSeen;
  if (changed) {
    mSeen = aOutcome.mRevision;
  }
  if (aWatch && !changed) {
    return { outcome::Unchanged, "" };
  }
  return { outcome::Found, aOutcome.mValue };
}

std::optional<std::string>
manifest_store_source::ReadText(const std::string& aHash)
{
  std::string key;
  {
    const std::lock_guard lock(mMutex);
    const auto found = mKeys.find(aHash);
    if (found == mKeys.end()) {
      return std::nullopt;
    }
    key = found->second;
  }
  const store::read_outcome outcome = mStore.Get(key);
  if (outcome.mStatus != store::store_status::Ok) {
    return std::nullopt;
  }
  return outcome.mValue;
}

std::optional<cluster::manifest_head>
manifest_store_source::ParseHead(const std::string& aText) const
{
  const auto parsed = store::ParseHead(aText);
  if (!parsed) {
    return std::nullopt;
  }
  const store::head& head = parsed.value();
  cluster::manifest_head out;
  out.mVersion = head.mVersion;
  out.mText = aText;
  out.mChunks.push_back({ kTenantsChunk, head.mTenants.mHash });
  for (const store::service_ref& service : head.mServices) {
    out.mChunks.push_back({ service.mService.Value(), service.mChunk.mHash });
  }
  const std::lock_guard lock(mMutex);
  if (mKeys.size() > kMaxKeys) {
    mKeys.clear();
  }
  for (const store::chunk_ref& chunk : head.Chunks()) {
    mKeys[chunk.mHash] = chunk.Key();
  }
  return out;
}

std::string
manifest_store_source::Hash(const std::string& aText) const
{
  return store::HashChunk(aText);
}

} // namespace monsooncroft::entry
