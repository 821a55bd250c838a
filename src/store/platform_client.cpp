/**
 * @file platform_client.cpp
 * The platform over HTTP.
 */
#include "store/platform_client_base.h"

#include "net/http_pool_base.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <optional>

namespace monsooncroft::store {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Each address is tried this often for one read. */
constexpr std::size_t kReadRounds = 2;

net::http_request
Post(const char* aTarget, const json& aBody)
{
  return { "POST",
           aTarget,
           aBody.dump(-1, ' ', false, json::error_handler_t::replace) };
}

template<class T>
std::optional<T>
Member(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return std::nullopt;
  }
  if constexpr (std::is_same_v<T, bool>) {
    return found->is_boolean() ? std::optional(found->get<T>()) : std::nullopt;
  } else if constexpr (std::is_same_v<T, std::string>) {
    return found->is_string() ? std::optional(found->get<T>()) : std::nullopt;
  } else {
    return found->is_number_unsigned() ? std::optional(found->get<T>())
                                       : std::nullopt;
  }
}

std::optional<listed_instance>
ReadInstance(const json& aValue)
{
  const auto name = Member<std::string>(aValue, "id");
  const auto role = Member<std::string>(aValue, "role");
  const auto address = Member<std::string>(aValue, "address");
  const auto parsed = model::endpoint::Parse(address.value_or(""));
  if (!name || !role || !parsed) {
    return std::nullopt;
  }
  listed_instance out;
  out.mId = *name;
  out.mRole = *role == "leaf" ? instance_role::Leaf : instance_role::Entry;
  out.mAddress = *parsed;
  out.mCallerAddress =
    model::endpoint::Parse(
      Member<std::string>(aValue, "caller_address").value_or(""))
      .value_or(model::endpoint{});
  out.mDataCentre = model::data_centre_id(
    Member<std::string>(aValue, "data_centre").value_or(""));
  out.mLeaving = Member<std::string>(aValue, "state") == "leaving";
  return out;
}

} // namespace

/** What came of one call. */
struct platform_client::reply
{
  store_status mStatus = store_status::Unavailable;
  json mBody; ///< An object when Ok.
};

namespace {

/** The status of one exchange, before its body is looked at. */
store_status
StatusOf(const net::exchange_result& aResult)
{
  switch (aResult.mState) {
    case net::send_state::NotSent:
      return store_status::Unavailable;
    case net::send_state::MaybeSent:
      return store_status::Ambiguous;
    case net::send_state::Replied:
      break;
  }
  switch (aResult.mResponse.mStatus) {
    case net::kHttpOk:
      return store_status::Ok;
    case net::kHttpTooManyRequests:
      return store_status::Throttled;
    default:
      return store_status::Ambiguous;
  }
}

} // namespace

platform_client::platform_client(net::http_pool& aPool,
                                 platform_options aOptions,
                                 clock aClock)
  : mPool(aPool)
  , mOptions(std::move(aOptions))
  , mClock(std::move(aClock))
  , mBudget(mOptions.mShare, mClock())
{
  assert(!mOptions.mAddresses.empty());
}

bool
platform_client::Take(call_kind aKind)
{
  const model::instant now = mClock();
  const std::lock_guard lock(mMutex);
  if (!mBudget.Take(aKind, now)) {
    ++mCalls.mWithheld;
    return false;
  }
  ++(aKind == call_kind::Read ? mCalls.mReads : mCalls.mWrites);
  return true;
}

void
platform_client::CountFailure(store_status aStatus)
{
  if (aStatus != store_status::Ok) {
    const std::lock_guard lock(mMutex);
    ++mCalls.mFailed;
  }
}

platform_calls
platform_client::Calls() const
{
  const std::lock_guard lock(mMutex);
  return mCalls;
}

platform_client::reply
platform_client::Read(const net::http_request& aRequest, milliseconds aTimeout)
{
  const std::size_t count = mOptions.mAddresses.size();
  for (std::size_t i = 0; i < count * kReadRounds; ++i) {
    if (!Take(call_kind::Read)) {
      return { store_status::Throttled, {} };
    }
    const std::size_t index = mPreferred % count;
    const net::exchange_result result =
      mPool.Call(mOptions.mAddresses[index], aRequest, aTimeout);
    const store_status status = StatusOf(result);
    CountFailure(status);
    if (status == store_status::Throttled) {
      return { status, {} };
    }
    json body = status == store_status::Ok
                  ? json::parse(result.mResponse.mBody, nullptr, false)
                  : json();
    if (body.is_object()) {
      return { store_status::Ok, std::move(body) };
    }
    mPreferred = (index + 1) % count;
    // A timeout has used the caller's patience; asking on would double it.
    if (result.mError == net::exchange_error::Timeout) {
      break;
    }
  }
  return { store_status::Unavailable, {} };
}

platform_client::reply
platform_client::Write(const net::http_request& aRequest)
{
  const std::size_t count = mOptions.mAddresses.size();
  for (std::size_t i = 0; i < count; ++i) {
    if (!Take(call_kind::Write)) {
      return { store_status::Throttled, {} };
    }
    const std::size_t index = mPreferred % count;
    const net::exchange_result result =
      mPool.Call(mOptions.mAddresses[index], aRequest, mOptions.mTimeout);
    const store_status status = StatusOf(result);
    CountFailure(status);
    if (status != store_status::Ok && status != store_status::Throttled) {
      mPreferred = (index + 1) % count;
    }
    if (status == store_status::Unavailable) {
      continue;
    }
    if (status != store_status::Ok) {
      return { status, {} };
    }
    json body = json::parse(result.mResponse.mBody, nullptr, false);
    if (!body.is_object()) {
      return { store_status::Ambiguous, {} };
    }
    return { store_status::Ok, std::move(body) };
  }
  return { store_status::Unavailable, {} };
}

read_outcome
platform_client::ReadKey(const net::http_request& aRequest,
                         milliseconds aTimeout)
{
  const reply got = Read(aRequest, aTimeout);
  if (got.mStatus != store_status::Ok) {
    return { got.mStatus, 0, {} };
  }
  const auto found = Member<bool>(got.mBody, "found");
  const auto at = Member<revision>(got.mBody, "revision");
  if (!found || (*found && !at)) {
    return { store_status::Unavailable, 0, {} };
  }
  if (!*found) {
    return { store_status::NotFound, 0, {} };
  }
  auto value = Member<std::string>(got.mBody, "value");
  if (!value) {
    return { store_status::Unavailable, 0, {} };
  }
  return { store_status::Ok, *at, std::move(*value) };
}

write_outcome
platform_client::WriteKey(const net::http_request& aRequest)
{
  const reply got = Write(aRequest);
  if (got.mStatus != store_status::Ok) {
    return { got.mStatus, 0 };
  }
  const auto swapped = Member<bool>(got.mBody, "ok");
  const auto at = Member<revision>(got.mBody, "revision");
  if (!swapped || !at) {
    return { store_status::Ambiguous, 0 };
  }
  return { *swapped ? store_status::Ok : store_status::Conflict, *at };
}

write_outcome
platform_client::WriteLease(const net::http_request& aRequest)
{
  const reply got = Write(aRequest);
  if (got.mStatus != store_status::Ok) {
    return { got.mStatus, 0 };
  }
  const auto held = Member<bool>(got.mBody, "ok");
  if (!held) {
    return { store_status::Ambiguous, 0 };
  }
  return { *held ? store_status::Ok : store_status::NotFound, 0 };
}

read_outcome
platform_client::Get(const std::string& aKey)
{
  return ReadKey(Post("/v1/kv/get", { { "key", aKey } }), mOptions.mTimeout);
}

write_outcome
platform_client::CompareAndSwap(const std::string& aKey,
                                revision aExpect,
                                const std::string& aValue,
                                const lease_id& aLease)
{
  json body = { { "key", aKey }, { "expect", aExpect }, { "value", aValue } };
  if (!aLease.empty()) {
    body["lease"] = aLease;
  }
  return WriteKey(Post("/v1/kv/cas", body));
}

write_outcome
platform_client::Delete(const std::string& aKey, revision aExpect)
{
  return WriteKey(
    Post("/v1/kv/delete", { { "key", aKey }, { "expect", aExpect } }));
}

read_outcome
platform_client::Watch(const std::string& aKey,
                       revision aAfter,
                       milliseconds aWait)
{
  const json body = { { "key", aKey },
                      { "after", aAfter },
                      { "wait_ms", aWait.count() } };
  return ReadKey(Post("/v1/kv/watch", body), aWait + mOptions.mTimeout);
}

lease_outcome
platform_client::GrantLease(milliseconds aTimeToLive)
{
  const reply got =
    Write(Post("/v1/lease/grant", { { "ttl_ms", aTimeToLive.count() } }));
  if (got.mStatus != store_status::Ok) {
    return { got.mStatus, {} };
  }
  const auto lease = Member<std::string>(got.mBody, "lease");
  return lease ? lease_outcome{ store_status::Ok, *lease }
               : lease_outcome{ store_status::Ambiguous, {} };
}

write_outcome
platform_client::KeepAlive(const lease_id& aLease)
{
  return WriteLease(Post("/v1/lease/keepalive", { { "lease", aLease } }));
}

write_outcome
platform_client::Revoke(const lease_id& aLease)
{
  return WriteLease(Post("/v1/lease/revoke", { { "lease", aLease } }));
}

instances_outcome
platform_client::List()
{
  const reply got = Read({ "GET", "/v1/instances", "" }, mOptions.mTimeout);
  if (got.mStatus != store_status::Ok) {
    return { got.mStatus, {} };
  }
  const auto entries = got.mBody.find("instances");
  if (entries == got.mBody.end() || !entries->is_array()) {
    return { store_status::Unavailable, {} };
  }
  instances_outcome out{ store_status::Ok, {} };
  for (const json& entry : *entries) {
    if (auto instance = ReadInstance(entry)) {
      out.mInstances.push_back(std::move(*instance));
    }
  }
  return out;
}

} // namespace monsooncroft::store
