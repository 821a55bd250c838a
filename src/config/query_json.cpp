/**
 * @file query_json.cpp
 * Callers' queries and their answers as JSON.
 */
#include "config/query_json_func.h"

#include "config/object_reader_base.h"

namespace monsooncroft::config {

namespace {

using nlohmann::json;

constexpr int kQueryDepth = 32;
constexpr bounds<std::int64_t> kDeadlineMs{ 1, 3'600'000 };
/** Wall clock up to the year 9999. */
constexpr bounds<std::int64_t> kIssuedAtMs{ 0, 253'402'300'799'999 };

} // namespace

result<model::query>
ParseQuery(const std::string& aText, std::size_t aMaxBytes)
{
  config_errors errors;
  const auto value = ReadJson(aText, { aMaxBytes, kQueryDepth }, errors);
  if (!value) {
    return { std::move(errors) };
  }
  object_reader reader(*value, "", errors);
  model::query out;
  out.mRequest = model::request_id(reader.Label("request_id"));
  out.mService = model::service_id(reader.Name("service"));
  out.mKind = model::kind_id(reader.Name("kind"));
  out.mWorkspace = model::workspace_id(reader.Name("tenant"));
  if (reader.Has("issued_at_ms")) {
    out.mIssuedAt = model::wall_instant(
      std::chrono::milliseconds(reader.Integer("issued_at_ms", kIssuedAtMs)));
  }
  if (reader.Has("deadline_ms")) {
    out.mDeadline =
      std::chrono::milliseconds(reader.Integer("deadline_ms", kDeadlineMs));
  }
  const json* body = reader.Any("body");
  out.mBody = body == nullptr ? "null" : WriteJson(*body);
  reader.Any("issued_at_ms");
  reader.Any("deadline_ms");
  reader.RefuseOthers();
  if (!errors.empty()) {
    return { std::move(errors) };
  }
  return { std::move(out) };
}

std::string
EmitQuery(const model::query& aQuery)
{
  json head = { { "request_id", aQuery.mRequest.Value() },
                { "service", aQuery.mService.Value() },
                { "kind", aQuery.mKind.Value() },
                { "tenant", aQuery.mWorkspace.Value() } };
  if (aQuery.mIssuedAt) {
    head["issued_at_ms"] = aQuery.mIssuedAt->time_since_epoch().count();
  }
  if (aQuery.mDeadline) {
    head["deadline_ms"] = aQuery.mDeadline->count();
  }
  std::string out = WriteJson(head);
  out.pop_back();
  const std::string body = aQuery.mBody.empty() ? "null" : aQuery.mBody;
  return out + ",\"body\":" + body + "}";
}

std::string
EmitAnswer(const model::answer& aAnswer)
{
  json missing = json::array();
  for (const model::coverage_name& name : aAnswer.mCoverage.mMissing) {
    missing.push_back(name.Value());
  }
  const json head = { { "request_id", aAnswer.mRequest.Value() },
                      { "status", model::ToString(aAnswer.mStatus) },
                      { "reason", aAnswer.mReason },
                      { "snapshot", aAnswer.mSnapshot },
                      { "manifest", aAnswer.mManifest },
                      { "coverage",
                        { { "answered", aAnswer.mCoverage.mAnswered },
                          { "total", aAnswer.mCoverage.mTotal },
                          { "missing", std::move(missing) } } } };
  // The merged results may be large: they are put in without being read again.
  std::string out = WriteJson(head);
  out.pop_back();
  const std::string results =
    aAnswer.mResults.empty() ? "null" : aAnswer.mResults;
  return out + ",\"results\":" + results + "}";
}

std::string
EmitBadQuery(const config_errors& aErrors)
{
  json faults = json::array();
  for (const config_error& error : aErrors) {
    faults.push_back({ { "path", error.mPath },
                       { "found", error.mFound },
                       { "allowed", error.mAllowed } });
  }
  const std::string reason =
    aErrors.empty() ? "bad input" : ToString(aErrors.front());
  return WriteJson({ { "reason", reason }, { "errors", std::move(faults) } });
}

} // namespace monsooncroft::config
