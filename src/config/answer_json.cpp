/**
 * @file answer_json.cpp
 * Reading back an answer.
 */
#include "config/answer_json_func.h"

#include <nlohmann/json.hpp>

#include <array>

namespace monsooncroft::config {

namespace {

using nlohmann::json;

constexpr std::array kStatuses = { model::status::Complete,
                                   model::status::Partial,
                                   model::status::Failed,
                                   model::status::NotRun,
                                   model::status::Unknown };

std::optional<model::status>
StatusOf(const std::string& aWord)
{
  for (const model::status status : kStatuses) {
    if (aWord == model::ToString(status)) {
      return status;
    }
  }
  return std::nullopt;
}

std::optional<model::answer>
Read(const json& aValue)
{
  const auto status = StatusOf(aValue.at("status").get<std::string>());
  if (!status) {
    return std::nullopt;
  }
  model::answer answer;
  answer.mRequest = model::request_id(aValue.at("request_id"));
  answer.mStatus = *status;
  answer.mReason = aValue.at("reason");
  answer.mSnapshot = aValue.at("snapshot");
  answer.mManifest = aValue.at("manifest");
  const json& coverage = aValue.at("coverage");
  answer.mCoverage.mAnswered = coverage.at("answered");
  answer.mCoverage.mTotal = coverage.at("total");
  for (const json& name : coverage.at("missing")) {
    answer.mCoverage.mMissing.emplace_back(name.get<std::string>());
  }
  answer.mResults = aValue.at("results").dump();
  return answer;
}

} // namespace

std::optional<model::answer>
ParseAnswer(const std::string& aText)
{
  const json value = json::parse(aText, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    return Read(value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace monsooncroft::config
