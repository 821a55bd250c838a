/**
 * @file platform_test.cpp
 * The platform stand-in as a process, on ports from 21000.
 */
#include "support/http_probe.h"
#include "support/process.h"

#include <gtest/gtest.h>

#include <csignal>

namespace monsooncroft::standin {
namespace {

using nlohmann::json;
using test_support::http_probe;
using test_support::probe_end;
using test_support::probe_reply;
using test_support::process;

const model::endpoint kPlatform{ "127.0.0.1", 21000 };
constexpr std::chrono::seconds kPatience{ 10 };
constexpr int kLongWaitMs = 5000;

class platform : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(test_support::WaitUntilUp(kPlatform)); }

  json Fault(const json& aFault)
  {
    return mProbe.Post("/control/fault", aFault).mBody;
  }

  probe_reply Cas(int aExpect, const std::string& aValue)
  {
    return mProbe.Post(
      "/v1/kv/cas",
      { { "key", "k" }, { "expect", aExpect }, { "value", aValue } });
  }

  json Get() { return mProbe.Post("/v1/kv/get", { { "key", "k" } }).mBody; }

  process mProcess = process::Start(MC_BIN_DIR "/standin_platform",
                                    { "--listen", kPlatform.ToString() });
  http_probe mProbe{ kPlatform };
  http_probe mOther{ kPlatform };
};

TEST_F(platform, ends_cleanly_on_sigterm)
{
  mProcess.Signal(SIGTERM);
  EXPECT_EQ(mProcess.Wait(kPatience), test_support::process_end{});
}

TEST_F(platform, a_watch_fires_on_change_and_on_deletion)
{
  json watch = { { "key", "k" }, { "after", 0 }, { "wait_ms", kLongWaitMs } };
  ASSERT_TRUE(mOther.Send("/v1/kv/watch", watch));
  Cas(0, "a");
  json seen = mOther.ReadReply().mBody;
  EXPECT_EQ(seen["changed"], true);
  EXPECT_EQ(seen["revision"], 1);
  EXPECT_EQ(seen["value"], "a");

  watch["after"] = 1;
  ASSERT_TRUE(mOther.Send("/v1/kv/watch", watch));
  mProbe.Post("/v1/kv/delete", { { "key", "k" }, { "expect", 1 } });
  seen = mOther.ReadReply().mBody;
  EXPECT_EQ(seen["changed"], true);
  EXPECT_EQ(seen["found"], false);
}

TEST_F(platform, a_broken_watch_only_times_out)
{
  Fault({ { "watch_broken", true } });
  Cas(0, "a");
  const json watch = { { "key", "k" }, { "after", 0 }, { "wait_ms", 1 } };
  EXPECT_EQ(mProbe.Post("/v1/kv/watch", watch).mBody["changed"], false);
}

TEST_F(platform, a_lease_that_ends_wakes_the_watch_of_its_key)
{
  const json lease =
    mProbe.Post("/v1/lease/grant", { { "ttl_ms", 50 } }).mBody["lease"];
  mProbe.Post(
    "/v1/kv/cas",
    { { "key", "k" }, { "expect", 0 }, { "value", "a" }, { "lease", lease } });
  const json watch = { { "key", "k" },
                       { "after", 1 },
                       { "wait_ms", kLongWaitMs } };
  const json seen = mProbe.Post("/v1/kv/watch", watch).mBody;
  EXPECT_EQ(seen["changed"], true);
  EXPECT_EQ(seen["found"], false);
}

TEST_F(platform, a_lost_answer_leaves_the_write_in_effect)
{
  Fault({ { "lose_answer_after_write", 1 } });
  const probe_reply lost = Cas(0, "a");
  EXPECT_EQ(lost.mStatus, 503);
  EXPECT_EQ(lost.mBody["reason"], "unavailable");
  EXPECT_EQ(Get()["value"], "a");

  Fault({ { "lose_answer_after_write", 1 }, { "lose_by", "close" } });
  EXPECT_EQ(Cas(1, "b").mEnd, probe_end::Closed);
  EXPECT_EQ(Get()["value"], "b");
  EXPECT_EQ(Cas(2, "c").mBody, (json{ { "ok", true }, { "revision", 3 } }));
}

TEST_F(platform, down_fails_calls_and_waiting_watches)
{
  const json watch = { { "key", "k" },
                       { "after", 0 },
                       { "wait_ms", kLongWaitMs } };
  ASSERT_TRUE(mOther.Send("/v1/kv/watch", watch));
  while (mProbe.Get("/control/stats").mBody["waiting_watches"] != 1) {
  }
  Fault({ { "down", true } });
  EXPECT_EQ(mOther.ReadReply().mStatus, 503);
  EXPECT_EQ(Cas(0, "a").mStatus, 503);
  Fault({ { "down", false } });
  EXPECT_EQ(Get()["found"], false);
}

TEST_F(platform, stale_reads_lag_by_changes)
{
  Cas(0, "a");
  Cas(1, "b");
  Fault({ { "stale_reads", 1 } });
  EXPECT_EQ(Get()["value"], "a");
  EXPECT_EQ(Cas(2, "c").mBody["ok"], true);
}

TEST_F(platform, refuses_large_values_and_calls_beyond_the_rate)
{
  const std::string large(1024 * 1024 + 1, 'x');
  EXPECT_EQ(Cas(0, large).mStatus, 413);
  EXPECT_EQ(Cas(0, large.substr(1)).mStatus, 200);
  Fault({ { "writes_per_s", 0.001 } });
  EXPECT_EQ(Cas(1, "a").mStatus, 429);
}

TEST_F(platform, shows_the_instance_list)
{
  const json list = { { { "id", "e1" }, { "role", "entry" } } };
  mProbe.Post("/control/instances", { { "instances", list } });
  EXPECT_EQ(mProbe.Get("/v1/instances").mBody["instances"], list);
}

} // namespace
} // namespace monsooncroft::standin
