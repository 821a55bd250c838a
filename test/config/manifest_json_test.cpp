/**
 * @file manifest_json_test.cpp
 * Manifests: round trips, and every fault reported at its place.
 */
#include "config/manifest_json_func.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace monsooncroft::config {
namespace {

using nlohmann::json;
using testing::Contains;
using testing::Field;

json
Leaf(const char* aName, const char* aAddress)
{
  return { { "name", aName },
           { "address", aAddress },
           { "data_centre", "dc1" },
           { "slots", 2 },
           { "connection_limit", 25 } };
}

json
Valid()
{
  json shard = { { "name", "s1" },
                 { "covers", { "old town" } },
                 { "leaves", { "a", "b" } } };
  json contract = { { "kind", "route" },    { "urgency", "urgent" },
                    { "deadline_ms", 160 }, { "least_coverage", 0.5 },
                    { "idempotent", true }, { "merge", "top" },
                    { "limit", 10 } };
  json service = { { "name", "routes" },
                   { "shards", { shard } },
                   { "leaves",
                     { Leaf("a", "127.0.0.1:1"), Leaf("b", "127.0.0.1:2") } },
                   { "contracts", { contract } } };
  return { { "schema", 1 },
           { "tenants", { { { "name", "desk" }, { "weight", 2.5 } } } },
           { "services", { service } } };
}

std::vector<std::string>
FaultPaths(const json& aManifest)
{
  std::vector<std::string> out;
  const auto parsed = ParseManifest(aManifest.dump(), 1);
  if (parsed.has_error()) {
    for (const config_error& error : parsed.error()) {
      out.push_back(error.mPath);
      EXPECT_FALSE(error.mFound.empty());
      EXPECT_FALSE(error.mAllowed.empty());
    }
  }
  return out;
}

TEST(manifest_json, round_trip_is_canonical)
{
  const auto first = ParseManifest(Valid().dump(2), 7);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first.value().Version(), 7U);
  const std::string text = EmitManifest(first.value());
  const auto second = ParseManifest(text, 7);
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(first.value(), second.value());
  EXPECT_EQ(EmitManifest(second.value()), text);
}

TEST(manifest_json, parts_join_to_the_same_manifest)
{
  const model::manifest whole = ParseManifest(Valid().dump(), 3).value();
  const auto tenants = ParseTenants(EmitTenants(whole.Workspaces()));
  const auto service = ParseService(EmitService(whole.Services()[0]));
  const auto joined = AssembleManifest(3, tenants.value(), { service.value() });
  EXPECT_EQ(joined.value(), whole);
  EXPECT_TRUE(
    AssembleManifest(3, {}, { service.value(), service.value() }).has_error());
}

TEST(manifest_json, every_fault_is_reported_at_once)
{
  json broken = Valid();
  broken["extra"] = 1;
  broken["tenants"][0]["weight"] = 0;
  broken["services"][0]["shards"][0]["leaves"] = { "a", "ghost", "a" };
  broken["services"][0]["leaves"][1]["address"] = "127.0.0.1:1";
  broken["services"][0]["contracts"][0]["urgency"] = "now";
  broken["services"][0]["contracts"][0].erase("deadline_ms");
  EXPECT_THAT(
    FaultPaths(broken),
    testing::UnorderedElementsAre("/extra",
                                  "/tenants/0/weight",
                                  "/services/0/shards/0/leaves/1",
                                  "/services/0/shards/0/leaves/2",
                                  "/services/0/leaves/1", // serves no shard
                                  "/services/0/leaves/1/address",
                                  "/services/0/contracts/0/urgency",
                                  "/services/0/contracts/0/deadline_ms"));
}

TEST(manifest_json, names_and_addresses_are_unique)
{
  json broken = Valid();
  broken["services"].push_back(broken["services"][0]);
  broken["tenants"].push_back(broken["tenants"][0]);
  const auto paths = FaultPaths(broken);
  EXPECT_THAT(paths, Contains("/services/1/name"));
  EXPECT_THAT(paths, Contains("/services/1/leaves/0/name"));
  EXPECT_THAT(paths, Contains("/services/1/leaves/0/address"));
  EXPECT_THAT(paths, Contains("/tenants/1/name"));
}

TEST(manifest_json, one_address_has_one_spelling)
{
  json broken = Valid();
  broken["services"][0]["leaves"][1]["address"] = "127.0.0.01:1";
  EXPECT_THAT(FaultPaths(broken), Contains("/services/0/leaves/1/address"));
}

TEST(manifest_json, a_shard_needs_a_leaf)
{
  json broken = Valid();
  broken["services"][0]["shards"][0]["leaves"] = json::array();
  EXPECT_THAT(FaultPaths(broken), Contains("/services/0/shards/0/leaves"));
}

TEST(manifest_json, a_repeated_name_is_refused)
{
  const auto parsed = ParseManifest(
    R"({"schema":1,"tenants":[],"services":[],"services":[]})", 1);
  ASSERT_TRUE(parsed.has_error());
  EXPECT_NE(parsed.error()[0].mFound.find("twice"), std::string::npos);
}

TEST(manifest_json, deep_and_long_texts_are_refused)
{
  const std::string deep(200'000, '[');
  EXPECT_TRUE(ParseManifest(deep, 1).has_error());
  EXPECT_TRUE(ParseService(std::string(kMaxPartBytes + 1, ' ')).has_error());
  json large = Valid();
  for (int i = 0; i < 9'999; ++i) {
    large["services"][0]["shards"][0]["covers"].push_back(
      std::string(110, 'x') + std::to_string(i));
  }
  EXPECT_THAT(FaultPaths(large), Contains("/services/0"));
}

TEST(manifest_json, examples_are_valid)
{
  for (const char* name : { "guild", "rakan-bekal" }) {
    std::ifstream file(std::string(MC_SOURCE_DIR "/examples/") + name +
                       ".json");
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = ParseManifest(text.str(), 1);
    ASSERT_TRUE(parsed.has_value())
      << name << " " << ToString(parsed.error().front());
  }
}

} // namespace
} // namespace monsooncroft::config
