/**
 * @file decode_test.cpp
 * Tests decoding of the platform's settings file and store entries.
 */
#include "decode.h"
#include "settings_file.h"

#include <gtest/gtest.h>

namespace monsooncroft::adapter {
namespace {

using std::chrono::milliseconds;

const std::string kSettings = R"(
node_name: "n1"
ip: "10.1.0.9"
zone: "z1"
listen: { front: "10.1.0.9:8104", ready: "10.1.0.9:8108", control: "10.1.0.9:8106" }
internal_port_range: [ 7380, 7395 ]
seeds: [ "10.1.0.9:8106", "10.2.0.21:8106" ]
something_new: { a: 1 }
bounds:
  retry_budget_ratio: 0.2
  retry_budget_slack: 58
  budget_window_s: 10
  grace_s: 6
  config_apply_ms: 3000
platform: { address: "10.200.1.7:8102" }
)";

TEST(SettingsFile, FieldsMapToInstanceSettings)
{
  const auto parsed = ParseSettings(kSettings);
  ASSERT_TRUE(std::holds_alternative<gateway::instance_settings>(parsed));
  const auto& settings = std::get<gateway::instance_settings>(parsed);
  EXPECT_EQ(settings.mName, "n1");
  EXPECT_EQ(settings.mPeerAddress, (model::endpoint{ "10.1.0.9", 7380 }));
  EXPECT_EQ(settings.mSeeds[1], (model::endpoint{ "10.2.0.21", 7380 }));
  EXPECT_EQ(settings.mStoreAddress.mPort, 8102);
  EXPECT_EQ(settings.mHeaderNames.mWorkspace, "X-Monsooncroft-Tenant");
  EXPECT_DOUBLE_EQ(settings.mRetryBudget.mSlack, 58);
  EXPECT_EQ(settings.mStopBound, milliseconds(6'000));
}

/** Roots are chosen by their processors, and listen at the second internal
 * port. */
TEST(SettingsFile, ProcessorAndRelayPort)
{
  const auto parsed =
    ParseSettings(kSettings + "limits: { cpu_share: 0.12, cores: 2 }\n");
  ASSERT_TRUE(std::holds_alternative<gateway::instance_settings>(parsed));
  const auto& settings = std::get<gateway::instance_settings>(parsed);
  EXPECT_DOUBLE_EQ(settings.mCapacity, 0.24);
  EXPECT_EQ(settings.mRelayAddress, (model::endpoint{ "10.1.0.9", 7381 }));
  const auto wrong = ParseSettings(kSettings + "limits: { cpu_share: 0 }\n");
  ASSERT_TRUE(std::holds_alternative<settings_errors>(wrong));
  EXPECT_EQ(std::get<settings_errors>(wrong).size(), 2U);
}

/** The tolerance of quotas, only where the deployment has them. */
TEST(SettingsFile, ToleranceOfQuotas)
{
  const auto parsed = ParseSettings(kSettings);
  const auto& without = std::get<gateway::instance_settings>(parsed);
  EXPECT_EQ(without.mQuota, serving::quota_settings());
  const auto withQuota = [](const std::string& aFields) {
    std::string text = kSettings;
    const std::string last = "  config_apply_ms: 3000\n";
    return ParseSettings(text.insert(text.find(last), aFields));
  };
  const auto read = withQuota("  quota_window_s: 2.5\n  quota_overage: 0.2\n"
                              "  quota_slack: 20\n");
  ASSERT_TRUE(std::holds_alternative<gateway::instance_settings>(read));
  EXPECT_EQ(std::get<gateway::instance_settings>(read).mQuota,
            (serving::quota_settings{ milliseconds(2'500), 0.2, 20 }));
  const auto wrong = withQuota("  quota_window_s: 0\n  quota_overage: -1\n"
                               "  quota_slack: x\n");
  ASSERT_TRUE(std::holds_alternative<settings_errors>(wrong));
  EXPECT_EQ(std::get<settings_errors>(wrong).size(), 3U);
}

TEST(SettingsFile, ReportsEveryErrorWithPathFoundAndAllowed)
{
  const auto parsed = ParseSettings(R"(
node_name: "n1"
zone: "z1"
ip: "10.1.0.9"
listen: { front: "nowhere", ready: "10.1.0.9:8108" }
internal_port_range: [ 7380 ]
bounds: { retry_budget_ratio: "many", retry_budget_slack: 58, budget_window_s: 0, grace_s: 6, config_apply_ms: 3000 }
)");
  ASSERT_TRUE(std::holds_alternative<settings_errors>(parsed));
  const auto& errors = std::get<settings_errors>(parsed);
  const auto hasError = [&](const std::string& aText) {
    return std::any_of(errors.begin(), errors.end(), [&](const auto& aError) {
      return aError.find(aText) != std::string::npos;
    });
  };
  EXPECT_TRUE(
    hasError("listen.front: found \"nowhere\", must be address:port"));
  EXPECT_TRUE(hasError("platform.address: missing"));
  EXPECT_TRUE(hasError("internal_port_range: missing, must be two ports"));
  EXPECT_TRUE(hasError("bounds.retry_budget_ratio: found \"many\""));
  EXPECT_TRUE(hasError("bounds.budget_window_s: found 0"));
  EXPECT_EQ(errors.size(), 5U);
}

TEST(SettingsFile, TextThatIsNotAMappingIsAnError)
{
  for (const char* text : { "", "- a", "a: [", "5" }) {
    EXPECT_TRUE(std::holds_alternative<settings_errors>(ParseSettings(text)));
  }
  EXPECT_TRUE(
    std::holds_alternative<settings_errors>(LoadSettings("/nowhere/at/all")));
}

TEST(DecodeConfig, RoutesOfEachKind)
{
  const auto decoded = DecodeConfig(R"({"version":7,"routes":[
    {"name":"f","host":"h.example","prefix":"/f/","kind":"safe","timeout_ms":600,"target_latency_ms":40,
     "priority":2,"fan_out":["a","b"],"max_attempts":2,"top_k":5,"min_success_share":0.75},
    {"name":"p","host":"h.example","prefix":"/p/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":250,
     "priority":1,"service":"c","max_attempts":2},
    {"name":"s","host":"h.example","prefix":"/s/","kind":"safe","timeout_ms":1,"traffic_split":
     [{"service":"c","weight":3},{"service":"d","weight":1}]}],
    "services":[{"name":"c","max_connections":26}],
    "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400}})");
  const auto* content = std::get_if<serving::routing_config::content>(&decoded);
  ASSERT_NE(content, nullptr);
  EXPECT_EQ(content->mVersion, 7U);
  const auto& fan = content->mRoutes[0];
  EXPECT_TRUE(fan.IsFanOut());
  EXPECT_EQ(fan.mTopRecords, 5U);
  EXPECT_EQ(fan.mRepeatability, serving::repeatability::Idempotent);
  const auto& plain = content->mRoutes[1];
  EXPECT_EQ(plain.mRepeatability, serving::repeatability::RunOnce);
  EXPECT_EQ(plain.mTargets[0].mService, "c");
  EXPECT_DOUBLE_EQ(content->mRoutes[2].mTargets[0].mWeight, 3);
  EXPECT_EQ(content->mServices.at("c").mMaxConnections, 26);
  EXPECT_EQ(content->mLimits.mIdleTimeout, milliseconds(400));
}

TEST(DecodeConfig, MalformedConfigurationIsAnError)
{
  for (const char* text : { "",
                            "{}",
                            "[]",
                            R"({"version":1,"routes":[{}],"services":[]})",
                            R"({"version":"x","routes":[],"services":[]})" }) {
    EXPECT_TRUE(std::holds_alternative<std::string>(DecodeConfig(text)))
      << text;
  }
}

const std::string kLeaf =
  R"({"service":"s","address":"10.1.0.1:80","zone":"z","slots":2,"state":"draining","cold_remaining_ms":5,"born":1700000000000})";

TEST(DecodeLeaf, DecodesARegistration)
{
  const auto leaf = DecodeLeaf("servers/i-1", kLeaf, 9);
  ASSERT_TRUE(leaf);
  EXPECT_EQ(leaf->mId, "i-1");
  EXPECT_TRUE(leaf->mDraining);
  EXPECT_EQ(leaf->mIncarnation, 1'700'000'000'000U);
  EXPECT_EQ(leaf->mRevision, 9U);
}

/** Guards against a malformed entry, such as one by another writer, that is
 * taken for a leaf or fails the read of the other entries. */
TEST(DecodeLeaf, RejectsMalformedEntries)
{
  const auto decodeWith = [](const std::string& aFrom, const std::string& aTo) {
    std::string text = kLeaf;
    const auto position = text.find(aFrom);
    return DecodeLeaf(
      "servers/i-1", text.replace(position, aFrom.size(), aTo), 1);
  };
  EXPECT_FALSE(decodeWith(R"("draining")", R"("asleep")"));
  EXPECT_FALSE(decodeWith("10.1.0.1:80", "nowhere"));
  EXPECT_FALSE(decodeWith(R"("slots":2)", R"("slots":"two")"));
  EXPECT_FALSE(decodeWith(R"("service":"s")", R"("service":7)"));
  EXPECT_FALSE(decodeWith(R"("zone":"z",)", ""));
  EXPECT_FALSE(decodeWith(R"("born":1700000000000)", R"("born":"then")"));
  EXPECT_FALSE(DecodeLeaf("servers/", kLeaf, 1));
  EXPECT_FALSE(DecodeLeaf("servers/i-1", "\xff\xfe", 1));
  EXPECT_FALSE(DecodeLeaf("servers/i-1", "[]", 1));
}

TEST(DecodeBase64, PaddingAndErrors)
{
  EXPECT_EQ(DecodeBase64("bm9kZS0x"), "node-1");
  EXPECT_EQ(DecodeBase64("YQ=="), "a");
  EXPECT_EQ(DecodeBase64("YWI="), "ab");
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_FALSE(DecodeBase64("abc"));
  EXPECT_FALSE(DecodeBase64("a!=="));
  EXPECT_FALSE(DecodeBase64("===="));
}

} // namespace
} // namespace monsooncroft::adapter
