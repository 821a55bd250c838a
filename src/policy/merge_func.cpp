/**
 * @file merge_func.cpp
 * Validation and merging of untrusted results.
 */
#include "policy/merge_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace monsooncroft::policy {

namespace {

using nlohmann::json;

constexpr int kMaxNesting = 64; ///< JSON serialization recurses by depth.

/** Parses a result; empty if it is not JSON or is nested too deeply. */
std::optional<json>
Parse(const std::string& aText)
{
  bool tooDeep = false;
  const auto keep = [&](int aDepth, json::parse_event_t, json&) {
    tooDeep = tooDeep || aDepth > kMaxNesting;
    return !tooDeep;
  };
  json value = json::parse(aText, keep, false);
  if (tooDeep || value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

bool
HasScore(const json& aEntry)
{
  if (!aEntry.is_object()) {
    return false;
  }
  const auto score = aEntry.find("score");
  return score != aEntry.end() && score->is_number();
}

/** Whether a result has the type that the merge rule requires. */
bool
HasMergeableType(model::merge_rule aRule, const json& aValue)
{
  switch (aRule) {
    case model::merge_rule::Concat:
      return aValue.is_array();
    case model::merge_rule::Top:
      return aValue.is_array() &&
             std::all_of(aValue.begin(), aValue.end(), HasScore);
    case model::merge_rule::Sum:
      return aValue.is_object() &&
             std::all_of(aValue.begin(), aValue.end(), [](const json& aEach) {
               return aEach.is_number();
             });
  }
  return false;
}

/** Returns the sum, exact for integers; empty if it overflows its type. */
std::optional<json>
Add(const json& aLeft, const json& aRight)
{
  if (aLeft.is_number_float() || aRight.is_number_float()) {
    const double sum = aLeft.get<double>() + aRight.get<double>();
    return std::isfinite(sum) ? std::optional<json>(sum) : std::nullopt;
  }
  const auto tooLarge = [](const json& aValue) {
    return aValue.is_number_unsigned() &&
           aValue.get<std::uint64_t>() >
             static_cast<std::uint64_t>(
               std::numeric_limits<std::int64_t>::max());
  };
  std::int64_t sum = 0;
  if (tooLarge(aLeft) || tooLarge(aRight) ||
      __builtin_add_overflow(
        aLeft.get<std::int64_t>(), aRight.get<std::int64_t>(), &sum)) {
    return std::nullopt;
  }
  return json(sum);
}

/** Adds objects key by key. If a sum overflows, returns false and leaves aTotal
 * unchanged. */
bool
AddObject(json& aTotal, const json& aValue)
{
  json next = aTotal;
  for (const auto& [key, number] : aValue.items()) {
    const auto sum = Add(next.value(key, json(0)), number);
    if (!sum) {
      return false;
    }
    next[key] = *sum;
  }
  aTotal = std::move(next);
  return true;
}

bool
MergeOne(model::merge_rule aRule, json& aTotal, json aValue)
{
  if (!HasMergeableType(aRule, aValue)) {
    return false;
  }
  if (aRule == model::merge_rule::Sum) {
    return AddObject(aTotal, aValue);
  }
  for (json& entry : aValue) {
    aTotal.push_back(std::move(entry));
  }
  return true;
}

/** Keeps the aLimit highest scores, highest first; equal scores stay in the
 * order of shards. */
void
KeepTop(json& aEntries, int aLimit)
{
  auto& entries = aEntries.get_ref<json::array_t&>();
  std::stable_sort(
    entries.begin(), entries.end(), [](const json& aLeft, const json& aRight) {
      return aLeft["score"].get<double>() > aRight["score"].get<double>();
    });
  const auto limit = static_cast<std::size_t>(std::max(0, aLimit));
  if (entries.size() > limit) {
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(limit),
                  entries.end());
  }
}

} // namespace

merged_results
MergeResults(model::merge_rule aRule,
             int aLimit,
             const std::vector<shard_result>& aResults)
{
  const bool sum = aRule == model::merge_rule::Sum;
  json total = sum ? json::object() : json::array();
  merged_results out;
  for (const shard_result& each : aResults) {
    std::optional<json> value = Parse(each.mJson);
    const bool usable = value && MergeOne(aRule, total, std::move(*value));
    (usable ? out.mMergedShards : out.mRejectedShards).insert(each.mShard);
  }
  if (aRule == model::merge_rule::Top) {
    KeepTop(total, aLimit);
  }
  out.mJson = total.dump(-1, ' ', false, json::error_handler_t::replace);
  return out;
}

} // namespace monsooncroft::policy
