/**
 * @file backend_test.cpp
 * The backend stand-in as a process, on ports from 21100.
 */
#include "support/http_probe.h"
#include "support/process.h"
#include "support/temporary_file.h"

#include <gtest/gtest.h>

#include <csignal>

namespace monsooncroft::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using test_support::http_probe;
using test_support::probe_end;
using test_support::probe_reply;
using test_support::process;

const model::endpoint kControl{ "127.0.0.1", 21100 };
const model::endpoint kLeaf{ "127.0.0.1", 21101 };
constexpr std::chrono::seconds kPatience{ 10 };
constexpr int kConnectionLimit = 4;
constexpr int kForeverMs = 60000;
constexpr milliseconds kSilence{ 200 };

json
Config()
{
  const json shard = { { "name", "s1" }, { "versions", { 7, 8 } } };
  const json leaf = {
    { "name", "leaf" },      { "address", kLeaf.ToString() },
    { "service", "routes" }, { "slots", 1 },
    { "queue_limit", 1 },    { "connection_limit", kConnectionLimit },
    { "shards", { shard } }, { "service_time", { { "median_ms", 1 } } }
  };
  return { { "seed", 1 }, { "leaves", { leaf } } };
}

json
Attempt(const std::string& aId, const json& aBody = json::object())
{
  return { { "request_id", "r-" + aId },
           { "attempt_id", aId },
           { "service", "routes" },
           { "kind", "find" },
           { "shard", "s1" },
           { "snapshot", 8 },
           { "remaining_ms", 60000 },
           { "idempotent", true },
           { "body", aBody } };
}

class backend : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(test_support::WaitUntilUp(kControl)); }

  void Control(json aFault)
  {
    aFault["name"] = "*";
    ASSERT_TRUE(mControl.Post("/control/leaf", aFault).Ok());
  }

  json Stats()
  {
    return mControl.Get("/control/stats").mBody["leaves"]["leaf"];
  }

  int Executions(const std::string& aRequest)
  {
    return mControl.Post("/control/executions", { { "request_id", aRequest } })
      .mBody["total"];
  }

  /** Sends an attempt that runs until cancelled, and sees it run. */
  void Occupy(http_probe& aProbe)
  {
    const json body = { { "service_ms", kForeverMs } };
    ASSERT_TRUE(aProbe.Send("/v1/execute", Attempt("long", body)));
    while (Stats()["running"] != 1) {
    }
  }

  void SendQueued(http_probe& aProbe, const json& aAttempt)
  {
    ASSERT_TRUE(aProbe.Send("/v1/execute", aAttempt));
    while (Stats()["queued"] != 1) {
    }
  }

  test_support::temporary_file mConfig{ Config().dump() };
  process mProcess = process::Start(
    MC_BIN_DIR "/standin_backend",
    { "--config", mConfig.Path(), "--control", kControl.ToString() });
  http_probe mControl{ kControl };
  http_probe mLeaf{ kLeaf };
  http_probe mOther{ kLeaf };
  http_probe mThird{ kLeaf };
};

TEST_F(backend, runs_and_answers_for_the_attempt)
{
  const json reply = mLeaf.Post("/v1/execute", Attempt("1")).mBody;
  EXPECT_EQ(reply["outcome"], "ok");
  EXPECT_EQ(reply["request_id"], "r-1");
  EXPECT_EQ(reply["attempt_id"], "1");
  EXPECT_EQ(reply["snapshot"], 8);
  EXPECT_EQ(reply["held"], (json{ 7, 8 }));
  EXPECT_EQ(reply["result"][0]["shard"], "s1");
  EXPECT_EQ(reply["result"][0]["version"], 8);
  EXPECT_EQ(reply["result"][0]["request"], "r-1");
  EXPECT_EQ(Executions("r-1"), 1);
}

TEST_F(backend, ends_cleanly_on_sigterm_with_work_under_way)
{
  Occupy(mLeaf);
  mProcess.Signal(SIGTERM);
  EXPECT_EQ(mProcess.Wait(kPatience), test_support::process_end{});
}

TEST_F(backend, an_index_that_rolled_is_not_held)
{
  Control({ { "versions", { { "s1", { 9 } } } } });
  const json reply = mLeaf.Post("/v1/execute", Attempt("1")).mBody;
  EXPECT_EQ(reply["outcome"], "not_held");
  EXPECT_EQ(reply["held"], json{ 9 });
  EXPECT_EQ(Executions("r-1"), 0);
}

TEST_F(backend, sheds_beyond_slots_and_queue)
{
  Occupy(mLeaf);
  SendQueued(mOther, Attempt("2"));
  const probe_reply shed = mThird.Post("/v1/execute", Attempt("3"));
  EXPECT_EQ(shed.mStatus, 503);
  EXPECT_EQ(shed.mBody["reason"], "shedding");
  EXPECT_EQ(shed.mBody["load"]["queued"], 1);
  EXPECT_EQ(Executions("r-3"), 0);
  EXPECT_EQ(Stats()["refused"], 1);
}

TEST_F(backend, refuses_queued_work_whose_deadline_passed)
{
  Occupy(mLeaf);
  json late = Attempt("2");
  late["remaining_ms"] = 0;
  SendQueued(mOther, late);
  mControl.Get("/control/stats");
  EXPECT_EQ(
    mThird.Post("/v1/cancel", { { "attempt_id", "long" } }).mBody["cancelled"],
    true);
  EXPECT_EQ(mLeaf.ReadReply().mBody["reason"], "cancelled");
  EXPECT_EQ(mOther.ReadReply().mBody["reason"], "expired");
  EXPECT_EQ(Executions("r-2"), 0);
}

TEST_F(backend, cancelled_queued_work_never_runs)
{
  Occupy(mLeaf);
  SendQueued(mOther, Attempt("2"));
  mThird.Post("/v1/cancel", { { "attempt_id", "2" } });
  EXPECT_EQ(mOther.ReadReply().mBody["outcome"], "refused");
  EXPECT_EQ(Executions("r-2"), 0);
  EXPECT_EQ(Stats()["cancelled_queued"], 1);
}

TEST_F(backend, draining_refuses_and_a_lie_hides_it)
{
  Control({ { "draining", true } });
  EXPECT_EQ(mLeaf.Get("/v1/state").mBody["draining"], true);
  Control({ { "lie", true } });
  EXPECT_EQ(mLeaf.Get("/v1/state").mBody["draining"], false);
  const json reply = mLeaf.Post("/v1/execute", Attempt("1")).mBody;
  EXPECT_EQ(reply["outcome"], "refused");
  EXPECT_EQ(reply["reason"], "draining");
}

TEST_F(backend, resets_connections_beyond_the_limit)
{
  std::vector<std::unique_ptr<http_probe>> probes;
  for (int count = 0; count < kConnectionLimit; ++count) {
    probes.push_back(std::make_unique<http_probe>(kLeaf));
    EXPECT_TRUE(probes.back()->Get("/v1/state").Ok());
  }
  EXPECT_EQ(mLeaf.Get("/v1/state").mEnd, probe_end::Closed);
  const json stats = Stats();
  EXPECT_EQ(stats["max_connections"], kConnectionLimit);
  EXPECT_EQ(stats["connection_refusals"], 1);
}

TEST_F(backend, a_crashing_body_takes_the_leaf_down_until_it_restarts)
{
  const json before = mLeaf.Get("/v1/state").mBody;
  Control({ { "crash_on_body", "poison" }, { "restart_ms", 300 } });
  const json body = { { "text", "poison" } };
  EXPECT_EQ(mOther.Post("/v1/execute", Attempt("1", body)).mEnd,
            probe_end::Closed);
  EXPECT_EQ(mLeaf.Get("/v1/state").mEnd, probe_end::Closed);
  EXPECT_EQ(Executions("r-1"), 1);
  ASSERT_TRUE(test_support::WaitUntilUp(kLeaf));
  EXPECT_NE(mLeaf.Get("/v1/state").mBody["boot_id"], before["boot_id"]);
  EXPECT_EQ(Stats()["crashes"], 1);
}

TEST_F(backend, silent_connections_stay_silent_while_new_ones_work)
{
  EXPECT_TRUE(mLeaf.Get("/v1/state").Ok());
  Control({ { "silent_connections", true } });
  EXPECT_EQ(mLeaf.Call("GET", "/v1/state", {}, kSilence).mEnd,
            probe_end::Timeout);
  EXPECT_TRUE(mOther.Get("/v1/state").Ok());
}

TEST_F(backend, a_leaving_leaf_serves_only_open_connections)
{
  EXPECT_TRUE(mLeaf.Get("/v1/state").Ok());
  Control({ { "leaving", true } });
  EXPECT_TRUE(mLeaf.Get("/v1/state").Ok());
  EXPECT_EQ(mOther.Get("/v1/state").mEnd, probe_end::Refused);
}

TEST_F(backend, replies_can_be_dropped_foreign_or_doubled)
{
  Control({ { "drop_reply", 1 } });
  EXPECT_EQ(mLeaf.Post("/v1/execute", Attempt("1")).mEnd, probe_end::Closed);
  EXPECT_EQ(Executions("r-1"), 1);
  Control({ { "wrong_ids", 1 } });
  EXPECT_NE(mLeaf.Post("/v1/execute", Attempt("2")).mBody["attempt_id"], "2");
  Control({ { "duplicate_reply", 1 } });
  EXPECT_EQ(mLeaf.Post("/v1/execute", Attempt("3")).mBody["attempt_id"], "3");
  EXPECT_EQ(mLeaf.Post("/v1/execute", Attempt("4")).mBody["attempt_id"], "3");
}

} // namespace
} // namespace monsooncroft::standin
