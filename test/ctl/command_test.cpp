/**
 * @file command_test.cpp
 * Runs the operators' commands against a fake store and fake instances; checks
 * exit codes and reports.
 */
#include "config/manifest_json_func.h"
#include "ctl/command_context_base.h"
#include "ctl/command_func.h"
#include "ctl/command_line_func.h"
#include "ctl/instance_client_base.h"
#include "store/apply_run_func.h"
#include "store/apply_type.h"
#include "store/instance_list_base.h"
#include "test/store/fake_key_value.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace monsooncroft::ctl {
namespace {

using json = nlohmann::ordered_json;

constexpr std::uint16_t kFirstPort = 9000;

/** Two listed entry instances, each of which can be made unreachable. */
class fake_tier final
  : public instance_client
  , public store::instance_list
{
public:
  std::vector<net::exchange_result> CallAll(
    const std::vector<model::endpoint>& aInstances,
    const net::http_request& aRequest,
    std::chrono::milliseconds) override
  {
    std::vector<net::exchange_result> out;
    for (const model::endpoint& instance : aInstances) {
      out.push_back(Call(instance.mPort - kFirstPort, aRequest));
    }
    return out;
  }

  store::instances_outcome List() override
  {
    store::instances_outcome out{ store::store_status::Ok, {} };
    for (int i = 0; i < 2; ++i) {
      store::listed_instance entry;
      entry.mId = "e" + std::to_string(i);
      entry.mCallerAddress = { "127.0.0.1",
                               static_cast<std::uint16_t>(kFirstPort + i) };
      out.mInstances.push_back(entry);
    }
    return out;
  }

  int mManifest[2] = { 0, 0 };
  bool mUp[2] = { true, true };
  net::exchange_result mAnswer; ///< Answer to every call except /v1/status.
  std::vector<net::http_request> mSent;

private:
  net::exchange_result Call(int aInstance, const net::http_request& aRequest)
  {
    if (!mUp[aInstance]) {
      return { net::send_state::NotSent,
               net::exchange_error::ConnectRefused,
               {} };
    }
    if (aRequest.mTarget != "/v1/status") {
      mSent.push_back(aRequest);
      return mAnswer;
    }
    net::exchange_result out{ net::send_state::Replied, {}, {} };
    out.mResponse.mBody = json{
      { "instance", "e" + std::to_string(aInstance) },
      { "manifest", mManifest[aInstance] },
      { "ready", true },
      { "alarms", json::array() }
    }.dump();
    return out;
  }
};

class command_test : public testing::Test
{
protected:
  void SetUp() override
  {
    mContext.mOptions.mJson = true;
    mContext.mOptions.mTimeout = std::chrono::milliseconds(5000);
    mContext.mStore = &mStore;
    mContext.mInstanceList = &mTier;
    mContext.mInstanceClient = &mTier;
    mContext.mOut = &mOut;
    mContext.mErr = &mErr;
    mContext.mNow = [this] { return mNow; };
    mContext.mWallNow = [] { return model::wall_instant(); };
    mContext.mSleep = [this](model::duration aTime) {
      mNow += aTime;
      mOnSleep();
    };
    mContext.mNewId = [this] { return "fresh" + std::to_string(++mIds); };
    mPath = std::filesystem::temp_directory_path() /
            ("monsooncroft-ctl-" + std::to_string(::getpid()) + ".json");
    Write(R"({"schema":1,"tenants":[{"name":"desk"}],"services":[]})");
  }

  void TearDown() override { std::filesystem::remove(mPath); }

  void Write(const std::string& aText)
  {
    std::ofstream(mPath) << aText;
    mContext.mOptions.mFile = mPath.string();
  }

  exit_code Run(command aCommand)
  {
    mOut.str("");
    mContext.mOptions.mCommand = aCommand;
    return RunCommand(mContext);
  }

  /** The last line of the output. */
  json Last()
  {
    std::istringstream lines(mOut.str());
    std::string line;
    std::string last;
    while (std::getline(lines, line)) {
      last = line;
    }
    return json::parse(last, nullptr, false);
  }

  store::fake_key_value mStore;
  fake_tier mTier;
  command_context mContext;
  std::ostringstream mOut;
  std::ostringstream mErr;
  model::instant mNow;
  std::function<void()> mOnSleep = [] {};
  int mIds = 0;
  std::filesystem::path mPath;
};

TEST_F(command_test, check_reports_every_fault)
{
  EXPECT_EQ(Run(command::Check), exit_code::Done);
  Write(R"({"schema":2,"tenants":[{"name":""}],"services":[]})");
  EXPECT_EQ(Run(command::Check), exit_code::Faults);
  EXPECT_EQ(Last()["faults"].size(), 2U);
  mContext.mOptions.mFile = "/nonexistent/manifest.json";
  EXPECT_EQ(Run(command::Check), exit_code::Faults);
}

TEST_F(command_test, apply_waits_until_every_instance_follows)
{
  using namespace std::chrono_literals;
  mContext.mOptions.mWait = true;
  mOnSleep = [this] {
    mTier.mManifest[0] = mNow >= model::instant(1s) ? 1 : 0;
    mTier.mManifest[1] = mNow >= model::instant(2s) ? 1 : 0;
  };
  EXPECT_EQ(Run(command::Apply), exit_code::Done);
  EXPECT_EQ(Last()["in_force_on"], 2);
  EXPECT_GE(mNow, model::instant(2s));
  const std::string out = mOut.str();
  EXPECT_NE(out.find(R"(["e0 at 0","e1 at 0"])"), std::string::npos);
  EXPECT_NE(out.find(R"(["e1 at 0"])"), std::string::npos);
}

TEST_F(command_test, apply_names_the_instances_behind_at_the_timeout)
{
  mContext.mOptions.mWait = true;
  mTier.mUp[1] = false;
  EXPECT_EQ(Run(command::Apply), exit_code::NotEverywhere);
  EXPECT_EQ(Last()["waiting_for"], (json{ "e0 at 0", "e1 silent" }));
}

TEST_F(command_test, apply_continues_above_a_lost_store_only_with_recover)
{
  mTier.mManifest[1] = 7;
  EXPECT_EQ(Run(command::Apply), exit_code::NotApplied);
  mContext.mOptions.mRecover = true;
  EXPECT_EQ(Run(command::Apply), exit_code::Done);
  EXPECT_EQ(Last()["manifest"], 8);
}

TEST_F(command_test, apply_conflicts_if_the_planned_base_has_changed)
{
  EXPECT_EQ(Run(command::Plan), exit_code::Done);
  EXPECT_EQ(Last()["base"], 0);
  EXPECT_EQ(Last()["changes"], 1);
  mContext.mOptions.mBase = 0;
  EXPECT_EQ(Run(command::Apply), exit_code::Done);
  EXPECT_EQ(Run(command::Apply), exit_code::Conflict);
  EXPECT_EQ(Last()["first"].get<std::string>().substr(0, 6), "fresh1");
  mStore.SetDown(true);
  EXPECT_EQ(Run(command::Apply), exit_code::NotApplied);
  EXPECT_EQ(Run(command::Plan), exit_code::NoAnswer);
}

TEST_F(command_test, status_is_healthy_only_if_every_instance_is)
{
  EXPECT_EQ(Run(command::Status), exit_code::Done);
  mTier.mManifest[1] = 4;
  EXPECT_EQ(Run(command::Status), exit_code::Unhealthy);
  mTier.mManifest[0] = 4;
  mTier.mUp[0] = false;
  EXPECT_EQ(Run(command::Status), exit_code::Unhealthy);
  mContext.mOptions.mJson = false;
  Run(command::Status);
  EXPECT_NE(mOut.str().find("instances:\ninstance"), std::string::npos);
}

TEST_F(command_test, a_query_is_sent_once)
{
  mContext.mOptions.mService = "routes";
  mContext.mOptions.mKind = "route";
  mContext.mOptions.mWorkspace = "desk";
  mTier.mAnswer = { net::send_state::MaybeSent,
                    net::exchange_error::Timeout,
                    {} };
  EXPECT_EQ(Run(command::Query), exit_code::Unknown);
  EXPECT_EQ(mTier.mSent.size(), 1U);
  mTier.mUp[0] = false;
  mTier.mAnswer = { net::send_state::Replied, {}, {} };
  mTier.mAnswer.mResponse.mBody = R"({"status":"partial"})";
  EXPECT_EQ(Run(command::Query), exit_code::Partial);
  EXPECT_EQ(mTier.mSent.size(), 2U);
  mTier.mUp[1] = false;
  EXPECT_EQ(Run(command::Query), exit_code::NotRun);
  mContext.mOptions.mBody = "{not json";
  EXPECT_EQ(Run(command::Query), exit_code::Faults);
}

TEST(command_line, options_may_stand_before_or_after_the_command)
{
  const auto parse = [](std::vector<std::string> aWords) {
    std::vector<char*> words;
    for (std::string& word : aWords) {
      words.push_back(word.data());
    }
    return ParseCommandLine(static_cast<int>(words.size()), words.data());
  };
  const auto parsed = parse({ "ctl",
                              "--platform",
                              "127.0.0.1:1",
                              "apply",
                              "m.json",
                              "--wait",
                              "--timeout",
                              "2",
                              "--json" });
  const auto& options = std::get<command_options>(parsed);
  EXPECT_EQ(options.mCommand, command::Apply);
  EXPECT_EQ(options.mTimeout.count(), 2000);
  EXPECT_TRUE(options.mWait && options.mJson);
  EXPECT_EQ(std::get<exit_code>(parse({ "ctl", "apply", "m.json" })),
            exit_code::Usage);
  EXPECT_EQ(std::get<exit_code>(
              parse({ "ctl", "status", "--instance", "localhost:1" })),
            exit_code::Usage);
  EXPECT_EQ(
    std::get<exit_code>(parse(
      { "ctl", "apply", "m.json", "--repeat", "--platform", "127.0.0.1:1" })),
    exit_code::Usage);
}

} // namespace
} // namespace monsooncroft::ctl
