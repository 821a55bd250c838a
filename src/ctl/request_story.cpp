/**
 * @file request_story.cpp
 * What became of a request, from the instances' logs.
 */
#include "ctl/request_story_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace monsooncroft::ctl {

namespace {

using json = nlohmann::ordered_json;

/** Events of leaves are told if they came so long before the answer. */
constexpr long kLeafWindowMs = 5'000;

struct record
{
  long mTime = 0;
  std::string mInstance;
  std::string mEvent;
  json mFields;
};

std::optional<record>
Parse(const std::string& aLine)
{
  const auto at = aLine.find('{');
  if (at == std::string::npos) {
    return std::nullopt;
  }
  json fields = json::parse(aLine.substr(at), nullptr, false);
  if (!fields.is_object() || !fields.contains("event")) {
    return std::nullopt;
  }
  record out;
  out.mTime = fields.value("time_ms", 0L);
  out.mInstance = fields.value("instance", "");
  out.mEvent = fields.value("event", "");
  out.mFields = std::move(fields);
  return out;
}

std::string
Tell(const record& aRecord)
{
  std::ostringstream out;
  out << aRecord.mTime << ' ' << aRecord.mInstance << ' ' << aRecord.mEvent;
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

/** Leaves that were tried for the shards without an answer:
 * "service:leaf:leaf service:leaf". */
std::set<std::string>
TriedLeaves(const json& aFields)
{
  std::set<std::string> leaves;
  std::istringstream shards(aFields.value("missing", ""));
  for (std::string shard; shards >> shard;) {
    std::istringstream parts(shard);
    std::string part;
    std::getline(parts, part, ':');
    while (std::getline(parts, part, ':')) {
      leaves.insert(part);
    }
  }
  return leaves;
}

/** Beliefs of which the last one before the request is told. */
std::string
BeliefOf(const std::string& aEvent)
{
  static const std::map<std::string, std::string> kBeliefs{
    { "config_in_force", "configuration" },
    { "store_lost", "store" },
    { "store_reached", "store" },
    { "ready", "readiness" },
    { "not_ready", "readiness" },
    { "stopping", "stop" },
    { "started", "start" },
    { "suspended", "suspension" }
  };
  const auto found = kBeliefs.find(aEvent);
  return found == kBeliefs.end() ? std::string() : found->second;
}

} // namespace

request_story
TellStory(std::istream& aLogs, const std::string& aRequest)
{
  request_story story;
  std::vector<record> records;
  for (std::string line; std::getline(aLogs, line);) {
    ++story.mRead;
    if (auto parsed = Parse(line)) {
      records.push_back(std::move(*parsed));
    } else {
      ++story.mUnreadable;
    }
  }
  std::stable_sort(records.begin(),
                   records.end(),
                   [](const record& aLeft, const record& aRight) {
                     return aLeft.mTime < aRight.mTime;
                   });
  std::set<std::size_t> told;
  for (std::size_t place = 0; place < records.size(); ++place) {
    const record& own = records[place];
    if (own.mFields.value("request", "") != aRequest) {
      continue;
    }
    story.mFound = true;
    told.insert(place);
    const std::set<std::string> leaves = TriedLeaves(own.mFields);
    std::map<std::string, std::size_t> beliefs;
    for (std::size_t before = 0; before < place; ++before) {
      const record& other = records[before];
      if (other.mInstance != own.mInstance) {
        continue;
      }
      if (const std::string belief = BeliefOf(other.mEvent); !belief.empty()) {
        beliefs[belief] = before;
      }
      const bool near = own.mTime - other.mTime <= kLeafWindowMs;
      if (near && leaves.contains(other.mFields.value("leaf", ""))) {
        told.insert(before);
      }
    }
    for (const auto& [belief, before] : beliefs) {
      told.insert(before);
    }
  }
  for (const std::size_t place : told) {
    story.mLines.push_back(Tell(records[place]));
  }
  return story;
}

} // namespace monsooncroft::ctl
