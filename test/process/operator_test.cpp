/**
 * @file operator_test.cpp
 * What operators see of an instance: logs, status and metrics.
 */
#include "process/deployment.h"
#include "process/raw_socket.h"

#include <gmock/gmock.h>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>

namespace monsooncroft::process_test {
namespace {

using nlohmann::json;
using testing::HasSubstr;

constexpr int kPortBase = 26500;
const std::string kMarker = "Xq7marker";

std::string
TextOf(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class operators : public testing::Test
{
protected:
  void SetUp() override
  {
    deployment_options options;
    options.mPortBase = kPortBase;
    options.mInstances = 2;
    options.mOutput = mLog.Path();
    options.mSettings = { { "log", { { "level", "debug" } } } };
    mDeployment = std::make_unique<deployment>(options);
    mDeployment->Start();
  }

  test_support::temporary_file mLog{ "" };
  std::unique_ptr<deployment> mDeployment;
};

TEST_F(operators, logs_are_json_lines_without_bodies)
{
  std::set<std::string> ids;
  for (int entry = 0; entry < mDeployment->Entries(); ++entry) {
    for (const char* kind : { "find", "browse", "book" }) {
      json query = deployment::Query(kind);
      query["body"]["text"] = kMarker;
      mDeployment->Ask(entry, query);
      ids.insert(query["request_id"]);
      json wrong = query;
      wrong[kMarker] = 1;
      wrong["tenant"] = kMarker;
      EXPECT_EQ(mDeployment->Ask(entry, wrong).mStatus, 400);
    }
    Exchange(mDeployment->Caller(entry), PostText("/v1/query", "{" + kMarker));
    Exchange(mDeployment->Caller(entry), PostText("/v1/explain", kMarker));
    mDeployment->Entry(entry).Signal(SIGTERM);
    EXPECT_TRUE(mDeployment->Entry(entry).Wait(std::chrono::seconds(25)));
  }
  const std::string text = TextOf(mLog.Path());
  EXPECT_EQ(text.find(kMarker), std::string::npos) << text;
  std::istringstream lines(text);
  std::string line;
  std::set<std::string> logged;
  while (std::getline(lines, line)) {
    const json row = json::parse(line, nullptr, false);
    ASSERT_TRUE(row.is_object()) << line;
    for (const char* field : { "time_ms", "level", "instance", "event" }) {
      EXPECT_TRUE(row.contains(field)) << line;
    }
    if (row["event"] == "query_done") {
      for (const char* field :
           { "request_id", "tenant", "manifest", "reason" }) {
        EXPECT_TRUE(row.contains(field)) << line;
      }
      logged.insert(row["request_id"]);
    }
  }
  EXPECT_EQ(logged, ids);
}

TEST_F(operators, status_and_metrics_tell_the_state)
{
  for (const char* kind : { "find", "browse", "book" }) {
    mDeployment->Ask(0, deployment::Query(kind));
  }
  Exchange(mDeployment->Caller(0), PostText("/v1/query", "{"));
  mDeployment->Leaf({ { "name", "leaf-0" }, { "draining", true } });
  EXPECT_TRUE(deployment::Eventually(
    [&] { return !mDeployment->Status(0)["leaving"].empty(); }));
  const json status = mDeployment->Status(0);
  EXPECT_EQ(status["manifest"], 1);
  EXPECT_EQ(status["alarms"], json::array());
  EXPECT_EQ(status["members"].size(), 2U);
  EXPECT_EQ(status["members"][0]["state"], "alive");
  EXPECT_EQ(status["leaving"][0]["leaf"], "leaf-0");
  EXPECT_GT(status["platform_calls"]["reads"], 0);
  EXPECT_GT(status["leaf_connections"], 0);
  EXPECT_EQ(status["metrics"]["counters"]["bad_queries"], 1);
  EXPECT_GT(status["metrics"]["counters"]["leaf_first_attempts"], 0);
  EXPECT_EQ(status["metrics"]["labelled"]["answers"].size(), 3U);

  const std::string text =
    Exchange(mDeployment->Caller(0), "GET /metrics HTTP/1.1\r\n\r\n");
  for (const char* line :
       { "monsooncroft_ready 1\n",
         "monsooncroft_manifest_version 1\n",
         "monsooncroft_members 2\n",
         "monsooncroft_bad_queries_total 1\n",
         "monsooncroft_answers_total{kind=\"find\",reason=\"\","
         "service=\"routes\",status=\"complete\",tenant=\"guild\"} 1\n",
         "monsooncroft_query_latency_ms{service=\"routes\",kind=\"find\","
         "tenant=\"guild\",quantile=\"0.99\"}",
         "monsooncroft_leaf_attempt_ends_total{outcome=\"ok\"" }) {
    EXPECT_THAT(text, HasSubstr(line));
  }
}

} // namespace
} // namespace monsooncroft::process_test
