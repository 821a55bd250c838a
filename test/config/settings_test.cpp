/**
 * @file settings_test.cpp
 * Settings: defaults, faults, and the page made from the table.
 */
#include "config/settings_base.h"
#include "config/settings_doc_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace monsooncroft::config {
namespace {

constexpr const char* kLeast = R"({
  "instance": {"id": "e1", "data_centre": "dc1"},
  "listen.caller": "127.0.0.1:8080",
  "listen": {"peer": "127.0.0.1:8081"},
  "platform.addresses": ["127.0.0.1:9000", "127.0.0.1:9001"],
  "hedge": {"budget_percent": 2.5}})";

TEST(settings, nested_and_dotted_names_and_defaults)
{
  const auto parsed = settings::Parse(kLeast);
  ASSERT_TRUE(parsed.has_value()) << ToString(parsed.error().front());
  const settings& read = parsed.value();
  EXPECT_EQ(read.Text(setting::InstanceId), "e1");
  EXPECT_EQ(read.Endpoint(setting::ListenPeer).mPort, 8081);
  EXPECT_EQ(read.Endpoints(setting::PlatformAddresses).size(), 2U);
  EXPECT_EQ(read.Number(setting::HedgeBudget), 2.5);
  EXPECT_EQ(read.Integer(setting::OwnershipReplicas), 1);
  EXPECT_FALSE(read.Boolean(setting::AdmissionFifo));
  EXPECT_EQ(read.Milliseconds(setting::GossipPeriod).count(), 1000);
  EXPECT_EQ(read.Text(setting::LogLevel), "info");
}

TEST(settings, every_fault_is_reported_at_once)
{
  const auto parsed = settings::Parse(R"({
    "instance": {"id": "a b"}, "instance.data_centre": "dc1",
    "listen": {"caller": "localhost:1", "peer": "127.0.0.1:1"},
    "platform": {"addresses": ["127.0.0.1:1", 7]},
    "log.level": "loud", "io": {"threads": 0}, "io.threads": 1,
    "colour": "red"})");
  ASSERT_TRUE(parsed.has_error());
  std::vector<std::string> paths;
  for (const config_error& error : parsed.error()) {
    paths.push_back(error.mPath);
  }
  EXPECT_THAT(paths,
              testing::UnorderedElementsAre("/instance/id",
                                            "/listen/caller",
                                            "/platform/addresses/1",
                                            "/log.level",
                                            "/io/threads",
                                            "/io.threads",
                                            "/colour"));
}

TEST(settings, every_default_passes_its_own_check)
{
  for (std::size_t i = 0; i < kSettings; ++i) {
    EXPECT_GT(std::string(RowOf(static_cast<setting>(i)).mText).size(), 0U);
  }
  EXPECT_TRUE(settings::Parse("{}").has_error());
  EXPECT_EQ(settings::Parse("{}").error().size(), 5U);
}

TEST(settings, page_is_up_to_date)
{
  std::ifstream file(MC_SOURCE_DIR "/docs/SETTINGS.md");
  std::stringstream text;
  text << file.rdbuf();
  EXPECT_EQ(text.str(), SettingsPage())
    << "write it anew: monsooncroftctl settings > docs/SETTINGS.md";
}

} // namespace
} // namespace monsooncroft::config
