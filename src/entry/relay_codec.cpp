/**
 * @file relay_codec.cpp
 * JSON of the messages between entry instances; results travel as text.
 */
#include "entry/relay_codec_func.h"

#include <nlohmann/json.hpp>

namespace monsooncroft::entry {

namespace {

using nlohmann::json;

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
HeldRows(const std::vector<held_row>& aRows)
{
  json rows = json::array();
  for (const held_row& row : aRows) {
    rows.push_back({ row.mShard.Value(), row.mLeaf.Value(), row.mHeld });
  }
  return rows;
}

std::vector<held_row>
ReadHeldRows(const json& aRows)
{
  std::vector<held_row> rows;
  for (const json& row : aRows) {
    rows.push_back({ model::shard_id(row.at(0).get<std::string>()),
                     model::leaf_id(row.at(1).get<std::string>()),
                     row.at(2).get<std::vector<model::index_version>>() });
  }
  return rows;
}

model::attempt_outcome
ReadOutcome(const json& aValue)
{
  const int value = aValue.get<int>();
  const int last = static_cast<int>(model::attempt_outcome::Lost);
  const bool known = value >= 0 && value <= last;
  return known ? static_cast<model::attempt_outcome>(value)
               : model::attempt_outcome::Lost;
}

relay_request
ReadRequest(const json& aValue)
{
  relay_request request;
  request.mRequest = model::request_id(aValue.at("request"));
  request.mService = model::service_id(aValue.at("service"));
  request.mKind = model::kind_id(aValue.at("kind"));
  request.mTenant = model::workspace_id(aValue.at("tenant"));
  request.mDataCentre = model::data_centre_id(aValue.at("data_centre"));
  request.mManifest = aValue.at("manifest");
  request.mSnapshot = aValue.at("snapshot");
  request.mRemaining = model::duration(aValue.at("remaining_us").get<long>());
  if (aValue.contains("send_before_ms")) {
    request.mSendBefore = model::wall_instant(
      std::chrono::milliseconds(aValue["send_before_ms"].get<long>()));
  }
  request.mNoExtra = aValue.at("no_extra");
  request.mAlone = aValue.value("alone", false);
  for (const json& shard : aValue.at("shards")) {
    request.mShards.push_back(
      { model::shard_id(shard.at(0).get<std::string>()),
        model::attempt_id(shard.at(1).get<std::string>()) });
  }
  request.mBody = aValue.at("body");
  return request;
}

relay_reply
ReadReply(const json& aValue)
{
  relay_reply reply;
  reply.mSent = aValue.at("sent");
  reply.mHeld = ReadHeldRows(aValue.at("held"));
  for (const json& row : aValue.at("results")) {
    model::attempt_result result;
    result.mAttempt = model::attempt_id(row.at("attempt"));
    result.mShard = model::shard_id(row.at("shard"));
    result.mLeaf = model::leaf_id(row.at("leaf"));
    result.mOutcome = ReadOutcome(row.at("outcome"));
    result.mSnapshot = row.at("snapshot");
    result.mReason = row.at("reason");
    result.mResult = row.at("result");
    reply.mResults.push_back(std::move(result));
  }
  return reply;
}

/** Runs a reader over a text; nothing if either fails. */
template<class Reader>
auto
Read(const std::string& aText, Reader aReader)
  -> std::optional<decltype(aReader(json()))>
{
  const json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  try {
    return aReader(value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::string
Emit(const relay_request& aRequest)
{
  json out;
  out["request"] = aRequest.mRequest.Value();
  out["service"] = aRequest.mService.Value();
  out["kind"] = aRequest.mKind.Value();
  out["tenant"] = aRequest.mTenant.Value();
  out["data_centre"] = aRequest.mDataCentre.Value();
  out["manifest"] = aRequest.mManifest;
  out["snapshot"] = aRequest.mSnapshot;
  out["remaining_us"] = aRequest.mRemaining.count();
  if (aRequest.mSendBefore) {
    out["send_before_ms"] = aRequest.mSendBefore->time_since_epoch().count();
  }
  out["no_extra"] = aRequest.mNoExtra;
  out["alone"] = aRequest.mAlone;
  json& shards = out["shards"] = json::array();
  for (const relay_shard& shard : aRequest.mShards) {
    shards.push_back({ shard.mShard.Value(), shard.mAttempt.Value() });
  }
  out["body"] = aRequest.mBody;
  return Dump(out);
}

std::string
Emit(const relay_reply& aReply)
{
  json out;
  out["sent"] = aReply.mSent;
  out["held"] = HeldRows(aReply.mHeld);
  json& rows = out["results"] = json::array();
  for (const model::attempt_result& result : aReply.mResults) {
    rows.push_back({ { "attempt", result.mAttempt.Value() },
                     { "shard", result.mShard.Value() },
                     { "leaf", result.mLeaf.Value() },
                     { "outcome", static_cast<int>(result.mOutcome) },
                     { "snapshot", result.mSnapshot },
                     { "reason", result.mReason },
                     { "result", result.mResult } });
  }
  return Dump(out);
}

std::string
EmitHeld(const std::vector<held_row>& aRows)
{
  return Dump({ { "held", HeldRows(aRows) } });
}

std::string
EmitCancel(const std::vector<model::attempt_id>& aAttempts)
{
  json attempts = json::array();
  for (const model::attempt_id& attempt : aAttempts) {
    attempts.push_back(attempt.Value());
  }
  return Dump({ { "attempts", attempts } });
}

std::optional<relay_request>
ParseRelayRequest(const std::string& aText)
{
  return Read(aText, ReadRequest);
}

std::optional<relay_reply>
ParseRelayReply(const std::string& aText)
{
  return Read(aText, ReadReply);
}

std::optional<std::vector<held_row>>
ParseHeld(const std::string& aText)
{
  return Read(
    aText, [](const json& aValue) { return ReadHeldRows(aValue.at("held")); });
}

std::optional<std::vector<model::attempt_id>>
ParseCancel(const std::string& aText)
{
  return Read(aText, [](const json& aValue) {
    std::vector<model::attempt_id> out;
    for (const json& attempt : aValue.at("attempts")) {
      out.emplace_back(attempt.get<std::string>());
    }
    return out;
  });
}

} // namespace monsooncroft::entry
