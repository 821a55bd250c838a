/**
 * @file leaf_codec.cpp
 * Encodes and decodes the JSON messages of the leaf protocol.
 */
#include "link/leaf_codec_func.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace monsooncroft::link {

namespace {

using json = nlohmann::json;
using model::attempt_outcome;

constexpr int kMaxDepth = 64; ///< Nesting of a reply; json::dump recurses.
constexpr std::size_t kMaxVersions = 4096; ///< Index versions per shard.
constexpr std::size_t kMaxTextBytes = 256; ///< Outcome, reason, boot id.

/** Thrown for a reply that violates the protocol. */
class bad_reply : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

json
Parse(const std::string& aText)
{
  const auto check = [](int aDepth, json::parse_event_t, json&) {
    if (aDepth > kMaxDepth) {
      throw bad_reply("reply is nested too deeply");
    }
    return true;
  };
  json out = json::parse(aText, check);
  if (!out.is_object()) {
    throw bad_reply("reply is not a JSON object");
  }
  return out;
}

const std::string&
ShortText(const json& aObject, const char* aName)
{
  const auto& text = aObject.at(aName).get_ref<const std::string&>();
  if (text.size() > kMaxTextBytes) {
    throw bad_reply("string value is too long");
  }
  return text;
}

/**
 * Reads an unsigned integer. json::get would convert a negative or fractional
 * number to unsigned without an error.
 */
std::uint64_t
Number(const json& aNumber)
{
  if (!aNumber.is_number_unsigned()) {
    throw bad_reply("value is not an unsigned integer");
  }
  return aNumber.get<std::uint64_t>();
}

int
Count(const json& aObject, const char* aName)
{
  const std::uint64_t number = Number(aObject.at(aName));
  if (number > static_cast<std::uint64_t>(std::numeric_limits<int>::max())) {
    throw bad_reply("count exceeds the range of int");
  }
  return static_cast<int>(number);
}

std::vector<model::index_version>
Versions(const json& aVersions)
{
  if (!aVersions.is_array() || aVersions.size() > kMaxVersions) {
    throw bad_reply("versions are not an array or too many");
  }
  std::vector<model::index_version> out;
  for (const json& version : aVersions) {
    const model::index_version number = Number(version);
    if (number == 0 || (!out.empty() && number <= out.back())) {
      throw bad_reply("versions are not positive and ascending");
    }
    out.push_back(number);
  }
  return out;
}

leaf_load
Load(const json& aObject)
{
  const json& load = aObject.at("load");
  leaf_load out;
  out.mRunning = Count(load, "running");
  out.mQueued = Count(load, "queued");
  out.mSlots = Count(load, "slots");
  return out;
}

std::string
BootId(const json& aObject)
{
  const std::string& boot = ShortText(aObject, "boot_id");
  if (boot.empty()) {
    throw bad_reply("boot_id is empty");
  }
  return boot;
}

/** Reads the outcome and checks that it agrees with the HTTP status. */
attempt_outcome
Outcome(const std::string& aOutcome, int aStatus)
{
  if (aOutcome == "ok" && aStatus == net::kHttpOk) {
    return attempt_outcome::Ok;
  }
  if (aOutcome == "not_held" && aStatus == net::kHttpOk) {
    return attempt_outcome::NotHeld;
  }
  if (aOutcome == "refused" && aStatus == net::kHttpUnavailable) {
    return attempt_outcome::Refused;
  }
  if (aOutcome == "error" && aStatus == net::kHttpServerError) {
    return attempt_outcome::Error;
  }
  throw bad_reply("outcome contradicts the HTTP status");
}

execute_reply
ReadExecute(const json& aObject, int aStatus)
{
  execute_reply out;
  out.mRequest =
    model::request_id(aObject.at("request_id").get_ref<const std::string&>());
  out.mAttempt =
    model::attempt_id(aObject.at("attempt_id").get_ref<const std::string&>());
  out.mShard =
    model::shard_id(aObject.at("shard").get_ref<const std::string&>());
  out.mOutcome = Outcome(ShortText(aObject, "outcome"), aStatus);
  out.mReport.mBoot = BootId(aObject);
  out.mReport.mDraining = aObject.at("draining").get<bool>();
  out.mReport.mLoad = Load(aObject);
  out.mReport.mHeld = Versions(aObject.at("held"));
  if (out.mOutcome == attempt_outcome::Ok) {
    out.mSnapshot = Number(aObject.at("snapshot"));
    out.mResult = aObject.at("result").dump();
  } else if (out.mOutcome != attempt_outcome::NotHeld) {
    out.mReason = ShortText(aObject, "reason");
  }
  return out;
}

leaf_state
ReadState(const json& aObject)
{
  leaf_state out;
  out.mBoot = BootId(aObject);
  out.mDraining = aObject.at("draining").get<bool>();
  out.mLoad = Load(aObject);
  for (const auto& [shard, versions] : aObject.at("held").items()) {
    out.mHeld[model::shard_id(shard)] = Versions(versions);
  }
  return out;
}

} // namespace

net::http_request
EncodeExecute(const execute_request& aRequest)
{
  const json head = {
    { "request_id", aRequest.mRequest.Value() },
    { "attempt_id", aRequest.mAttempt.Value() },
    { "service", aRequest.mService.Value() },
    { "kind", aRequest.mKind.Value() },
    { "shard", aRequest.mShard.Value() },
    { "snapshot", aRequest.mSnapshot },
    { "remaining_ms", aRequest.mRemaining.count() },
    { "idempotent", aRequest.mIdempotent },
  };
  std::string text = head.dump(-1, ' ', false, json::error_handler_t::replace);
  // The body is inserted as text: parsing it again for each shard would cost
  // more than building the rest of the message.
  text.pop_back();
  text += ",\"body\":";
  text += aRequest.mBody.empty() ? "null" : aRequest.mBody;
  text += '}';
  return { "POST", kExecuteTarget, std::move(text) };
}

net::http_request
EncodeCancel(const model::attempt_id& aAttempt)
{
  const json body = { { "attempt_id", aAttempt.Value() } };
  return { "POST",
           kCancelTarget,
           body.dump(-1, ' ', false, json::error_handler_t::replace) };
}

std::optional<execute_reply>
DecodeExecute(const net::http_response& aResponse)
{
  try {
    return ReadExecute(Parse(aResponse.mBody), aResponse.mStatus);
  } catch (const std::exception&) {
    // An invalid reply says nothing about the outcome of the attempt.
    return std::nullopt;
  }
}

std::optional<leaf_state>
DecodeState(const net::http_response& aResponse)
{
  if (aResponse.mStatus != net::kHttpOk) {
    return std::nullopt;
  }
  try {
    return ReadState(Parse(aResponse.mBody));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace monsooncroft::link
