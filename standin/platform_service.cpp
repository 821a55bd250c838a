/**
 * @file platform_service.cpp
 * The key-value service, the leases and the instance list.
 */
#include "standin/platform_service.h"
#include "standin/event_loop.h"
#include "standin/json_reply.h"

namespace monsooncroft::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxValueBytes = std::size_t{ 1024 } * 1024;
constexpr milliseconds kExpiryPeriod{ 10 };

const std::map<std::string, std::string>&
CallNames()
{
  static const std::map<std::string, std::string> kNames = {
    { "/v1/kv/get", "get" },
    { "/v1/kv/cas", "cas" },
    { "/v1/kv/delete", "delete" },
    { "/v1/kv/watch", "watch" },
    { "/v1/lease/grant", "lease_grant" },
    { "/v1/lease/keepalive", "lease_keepalive" },
    { "/v1/lease/revoke", "lease_revoke" },
    { "/v1/instances", "instances" },
  };
  return kNames;
}

bool
IsRead(const std::string& aCall)
{
  return aCall == "get" || aCall == "watch" || aCall == "instances";
}

json
ToJson(const kv_value& aValue)
{
  return { { "found", aValue.mRevision != 0 },
           { "revision", aValue.mRevision },
           { "value", aValue.mValue } };
}

json
ToJson(const kv_write& aWrite)
{
  return { { "ok", aWrite.mOk }, { "revision", aWrite.mRevision } };
}

void
Fail(outage aHow, const reply_callback& aReply)
{
  if (aHow == outage::Unavailable) {
    aReply(ReasonReply(net::kHttpUnavailable, "unavailable"));
  } else if (aHow == outage::Close) {
    aReply({ {}, delivery::Close });
  }
}

std::string
LeaseOf(const json& aBody)
{
  const auto found = aBody.find("lease");
  if (found == aBody.end() || found->is_null()) {
    return {};
  }
  return found->get<std::string>();
}

} // namespace

platform_service::platform_service(serial_queue& aQueue, json aInstances)
  : mQueue(aQueue)
  , mInstances(std::move(aInstances))
{
}

void
platform_service::Handle(const net::http_request& aRequest,
                         reply_callback aReply)
{
  try {
    if (aRequest.mTarget.starts_with("/control/")) {
      HandleControl(aRequest, aReply);
    } else {
      HandleCall(aRequest, aReply);
    }
  } catch (const json::exception& error) {
    aReply(ReasonReply(net::kHttpBadRequest, error.what()));
  }
}

void
platform_service::KeepExpiring()
{
  for (const std::string& key : mStore.Expire(Now())) {
    OnChanged(key);
  }
  mQueue.After(kExpiryPeriod, [this] { KeepExpiring(); });
}

void
platform_service::HandleCall(const net::http_request& aRequest,
                             const reply_callback& aReply)
{
  const auto name = CallNames().find(aRequest.mTarget);
  if (name == CallNames().end()) {
    aReply(ReasonReply(net::kHttpNotFound, "no such call"));
    return;
  }
  ++mCounts[name->second];
  if (mFault.mDown != outage::None) {
    ++mCounts["failed"];
    Fail(mFault.mDown, aReply);
    return;
  }
  const bool read = IsRead(name->second);
  const bool admitted = read ? mReads.Admit(Now(), mFault.mReadsPerSecond)
                             : mWrites.Admit(Now(), mFault.mWritesPerSecond);
  if (!admitted) {
    aReply(ReasonReply(net::kHttpTooManyRequests, "rate"));
    return;
  }
  if (mFault.mSlow > model::duration::zero()) {
    mQueue.After(mFault.mSlow,
                 [this, aRequest, aReply] { Carry(aRequest, aReply); });
    return;
  }
  Carry(aRequest, aReply);
}

void
platform_service::Carry(const net::http_request& aRequest,
                        const reply_callback& aReply)
{
  try {
    const std::string& call = CallNames().at(aRequest.mTarget);
    const json body =
      call == "instances" ? json::object() : json::parse(aRequest.mBody);
    Answer(call, body, aReply);
  } catch (const json::exception& error) {
    aReply(ReasonReply(net::kHttpBadRequest, error.what()));
  }
}

void
platform_service::Answer(const std::string& aCall,
                         const json& aBody,
                         const reply_callback& aReply)
{
  if (aCall == "get") {
    aReply(JsonReply(net::kHttpOk, ToJson(Read(aBody.at("key")))));
  } else if (aCall == "cas") {
    Cas(aBody, aReply);
  } else if (aCall == "delete") {
    Delete(aBody, aReply);
  } else if (aCall == "watch") {
    Watch(aBody, aReply);
  } else if (aCall == "lease_grant") {
    const milliseconds ttl(aBody.at("ttl_ms").get<std::int64_t>());
    aReply(JsonReply(net::kHttpOk, { { "lease", mStore.Grant(ttl, Now()) } }));
  } else if (aCall == "lease_keepalive") {
    const bool ok = mStore.KeepAlive(LeaseOf(aBody), Now());
    aReply(JsonReply(net::kHttpOk, { { "ok", ok } }));
  } else if (aCall == "lease_revoke") {
    Revoke(aBody, aReply);
  } else {
    aReply(JsonReply(net::kHttpOk, { { "instances", mInstances } }));
  }
}

void
platform_service::Cas(const json& aBody, const reply_callback& aReply)
{
  const auto& value = aBody.at("value").get_ref<const std::string&>();
  if (value.size() > kMaxValueBytes) {
    aReply(ReasonReply(net::kHttpTooLarge, "value too large"));
    return;
  }
  const std::string key = aBody.at("key");
  const kv_write written =
    mStore.Cas(key, aBody.at("expect"), value, LeaseOf(aBody));
  if (written.mOk) {
    OnChanged(key);
  }
  if (written.mOk && mFault.mLoseAnswers > 0) {
    --mFault.mLoseAnswers;
    ++mCounts["answers_lost"];
    Fail(mFault.mLost, aReply);
    return;
  }
  aReply(JsonReply(net::kHttpOk, ToJson(written)));
}

void
platform_service::Delete(const json& aBody, const reply_callback& aReply)
{
  const std::string key = aBody.at("key");
  const kv_write deleted = mStore.Delete(key, aBody.at("expect"));
  if (deleted.mOk) {
    OnChanged(key);
  }
  aReply(JsonReply(net::kHttpOk, ToJson(deleted)));
}

void
platform_service::Watch(const json& aBody, const reply_callback& aReply)
{
  const std::string key = aBody.at("key");
  const revision after = aBody.at("after");
  const milliseconds wait(aBody.at("wait_ms").get<std::int64_t>());
  const kv_value present = Read(key);
  if (HasChanged(key, after) && !mFault.mWatchBroken) {
    json body = ToJson(present);
    body["changed"] = true;
    aReply(JsonReply(net::kHttpOk, body));
    return;
  }
  const std::uint64_t id = mNextWatcher++;
  mWatchers[key].push_back({ id, after, aReply });
  mQueue.After(wait, [this, key, id] { EndWatch(key, id); });
}

void
platform_service::EndWatch(const std::string& aKey, std::uint64_t aId)
{
  const auto waiting = mWatchers.find(aKey);
  if (waiting == mWatchers.end()) {
    return;
  }
  json body = ToJson(Read(aKey));
  body["changed"] = false;
  std::erase_if(waiting->second, [&](const watcher& aWatcher) {
    if (aWatcher.mId != aId) {
      return false;
    }
    aWatcher.mReply(JsonReply(net::kHttpOk, body));
    return true;
  });
  if (waiting->second.empty()) {
    mWatchers.erase(waiting);
  }
}

void
platform_service::Revoke(const json& aBody, const reply_callback& aReply)
{
  std::vector<std::string> changed;
  const bool ok = mStore.Revoke(LeaseOf(aBody), changed);
  for (const std::string& key : changed) {
    OnChanged(key);
  }
  aReply(JsonReply(net::kHttpOk, { { "ok", ok } }));
}

void
platform_service::OnChanged(const std::string& aKey)
{
  const auto waiting = mWatchers.find(aKey);
  if (waiting == mWatchers.end() || mFault.mWatchBroken) {
    return;
  }
  json body = ToJson(Read(aKey));
  body["changed"] = true;
  std::erase_if(waiting->second, [&](const watcher& aWatcher) {
    if (!HasChanged(aKey, aWatcher.mAfter)) {
      return false;
    }
    aWatcher.mReply(JsonReply(net::kHttpOk, body));
    return true;
  });
}

bool
platform_service::HasChanged(const std::string& aKey, revision aAfter) const
{
  // A key that was there and is gone has changed, too; a lagging read that
  // does not show it yet is no such change.
  const bool gone = aAfter > 0 && mStore.Get(aKey).mRevision == 0;
  return gone || Read(aKey).mRevision > aAfter;
}

kv_value
platform_service::Read(const std::string& aKey) const
{
  return mStore.Get(aKey, mFault.mStaleReads);
}

} // namespace monsooncroft::standin
