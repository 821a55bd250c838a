/**
 * @file request_timeline.cpp
 * Builds the timeline of a request from the instances' logs.
 */
#include "ctl/request_timeline_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace monsooncroft::ctl {

namespace {

using json = nlohmann::ordered_json;

/** Age limit of leaf events, relative to the request's record. */
constexpr long kLeafWindowMs = 5'000;

/** One structured log line. */
struct log_record
{
  long mTimeMs = 0;      ///< Wall clock.
  std::string mInstance; ///< Name of the instance that wrote the line.
  std::string mEvent;    ///< Name of the event.
  json mFields;          ///< All fields, including the three above.
};

std::optional<log_record>
ParseRecord(const std::string& aLine)
{
  const auto begin = aLine.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  json fields = json::parse(aLine.substr(begin), nullptr, false);
  if (!fields.is_object() || !fields.contains("event")) {
    return std::nullopt;
  }
  log_record out;
  out.mTimeMs = fields.value("time_ms", 0L);
  out.mInstance = fields.value("instance", "");
  out.mEvent = fields.value("event", "");
  out.mFields = std::move(fields);
  return out;
}

std::string
FormatRecord(const log_record& aRecord)
{
  std::ostringstream out;
  out << aRecord.mTimeMs << ' ' << aRecord.mInstance << ' ' << aRecord.mEvent;
  for (const auto& [key, value] : aRecord.mFields.items()) {
    if (key == "time_ms" || key == "instance" || key == "event" ||
        key == "level" || value == "") {
      continue;
    }
    out << ' ' << key << '='
        << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return out.str();
}

/** Returns the leaves tried for the shards without an answer. The field
 * "missing" lists them as "service:leaf:leaf service:leaf". */
std::set<std::string>
TriedLeaves(const json& aFields)
{
  std::set<std::string> leaves;
  std::istringstream shards(aFields.value("missing", ""));
  for (std::string shard; shards >> shard;) {
    std::istringstream fields(shard);
    std::string field;
    std::getline(fields, field, ':');
    while (std::getline(fields, field, ':')) {
      leaves.insert(field);
    }
  }
  return leaves;
}

/** Returns the kind of instance state that an event reports, or an empty
 * string. Of each kind, only the last record before the request is selected. */
std::string
StateKindOf(const std::string& aEvent)
{
  static const std::map<std::string, std::string> kStateKinds{
    { "config_in_force", "configuration" },
    { "store_lost", "store" },
    { "store_reached", "store" },
    { "ready", "readiness" },
    { "not_ready", "readiness" },
    { "stopping", "stop" },
    { "started", "start" },
    { "suspended", "suspension" },
    { "root_role", "root" }
  };
  const auto found = kStateKinds.find(aEvent);
  return found == kStateKinds.end() ? std::string() : found->second;
}

} // namespace

request_timeline
FormatTimeline(std::istream& aLogs, const std::string& aRequest)
{
  request_timeline timeline;
  std::vector<log_record> records;
  for (std::string line; std::getline(aLogs, line);) {
    ++timeline.mLinesRead;
    if (auto parsed = ParseRecord(line)) {
      records.push_back(std::move(*parsed));
    } else {
      ++timeline.mUnreadableLines;
    }
  }
  std::stable_sort(records.begin(),
                   records.end(),
                   [](const log_record& aLeft, const log_record& aRight) {
                     return aLeft.mTimeMs < aRight.mTimeMs;
                   });
  std::set<std::size_t> selected;
  for (std::size_t index = 0; index < records.size(); ++index) {
    const log_record& requestRecord = records[index];
    if (requestRecord.mFields.value("request", "") != aRequest) {
      continue;
    }
    timeline.mRequestFound = true;
    selected.insert(index);
    const std::set<std::string> leaves = TriedLeaves(requestRecord.mFields);
    std::map<std::string, std::size_t> latestStates;
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      const log_record& earlierRecord = records[earlier];
      if (earlierRecord.mInstance != requestRecord.mInstance) {
        continue;
      }
      if (const std::string stateKind = StateKindOf(earlierRecord.mEvent);
          !stateKind.empty()) {
        latestStates[stateKind] = earlier;
      }
      const bool recent =
        requestRecord.mTimeMs - earlierRecord.mTimeMs <= kLeafWindowMs;
      if (recent && leaves.contains(earlierRecord.mFields.value("leaf", ""))) {
        selected.insert(earlier);
      }
    }
    for (const auto& [stateKind, earlier] : latestStates) {
      selected.insert(earlier);
    }
  }
  for (const std::size_t index : selected) {
    timeline.mLines.push_back(FormatRecord(records[index]));
  }
  return timeline;
}

} // namespace monsooncroft::ctl
