/**
 * @file checker.cpp
 * The invariants of one answer.
 */
#include "process/checker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace monsooncroft::process_test {

namespace {

using nlohmann::json;

void
CheckResults(const json& aAnswer, const json& aQuery)
{
  std::set<std::string> answered;
  for (const json& row : aAnswer["results"]) {
    EXPECT_EQ(row["request"], aQuery["request_id"]) << aAnswer;
    EXPECT_EQ(row["version"], aAnswer["snapshot"]) << aAnswer;
    answered.insert(row["shard"]);
  }
  json missing = json::array();
  for (const char* shard : { "0", "1", "2" }) {
    if (answered.count(std::string("s") + shard) == 0) {
      missing.push_back(std::string("q") + shard + "a");
      missing.push_back(std::string("q") + shard + "b");
    }
  }
  EXPECT_EQ(aAnswer["coverage"]["missing"], missing) << aAnswer;
}

/** Most executions of one shard, and of all shards. */
std::pair<int, int>
CountExecutions(const json& aExecutions)
{
  int most = 0;
  int total = 0;
  for (const auto& [shard, count] : aExecutions["executions"].items()) {
    most = std::max(most, count["started"].get<int>());
    total += count["started"].get<int>();
  }
  return { most, total };
}

} // namespace

void
CheckAnswer(deployment& aDeployment, const asked& aAsked)
{
  const json& answer = aAsked.mReply.mBody;
  ASSERT_EQ(answer["request_id"], aAsked.mQuery["request_id"])
    << aAsked.mReply.mText;
  const std::string status = answer["status"];
  const bool once = aAsked.mQuery["kind"] == "book";
  if (!once && (status == "complete" || status == "partial")) {
    CheckResults(answer, aAsked.mQuery);
  }
  if (!once && status != "not_run") {
    return;
  }
  const auto [most, total] =
    CountExecutions(aDeployment.Executions(aAsked.mQuery["request_id"]));
  if (once) {
    EXPECT_LE(most, 1) << answer;
  }
  if (status == "not_run") {
    EXPECT_EQ(total, 0) << answer;
  }
  if (once && status == "complete") {
    EXPECT_EQ(total, 3) << answer;
    EXPECT_EQ(answer["results"]["count"], 3) << answer;
  }
}

void
CheckAll(deployment& aDeployment, const std::vector<asked>& aAsked)
{
  for (const asked& one : aAsked) {
    if (one.mReply.mEnd == test_support::probe_end::Replied) {
      CheckAnswer(aDeployment, one);
    }
  }
}

std::size_t
CountCut(const std::vector<asked>& aAsked)
{
  return static_cast<std::size_t>(
    std::count_if(aAsked.begin(), aAsked.end(), [](const asked& aOne) {
      return aOne.mReply.mEnd != test_support::probe_end::Replied;
    }));
}

} // namespace monsooncroft::process_test
