/**
 * @file hostile_text_test.cpp
 * Random and mutated texts never crash a parser, and what passes round-trips.
 */
#include "config/manifest_json_func.h"
#include "config/query_json_func.h"
#include "config/settings_base.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <random>

namespace monsooncroft::config {
namespace {

using random_engine = std::mt19937_64;

const std::string kManifest =
  R"({"schema":1,"tenants":[{"name":"t","weight":1.5,"rate_per_s":3,"burst":2}],)"
  R"("services":[{"name":"s","shards":[{"name":"p","covers":["x"],)"
  R"("leaves":["a"]}],"leaves":[{"name":"a","address":"127.0.0.1:1",)"
  R"("data_centre":"d","slots":2,"connection_limit":25}],"contracts":[)"
  R"({"kind":"k","urgency":"urgent","deadline_ms":160,"least_coverage":0.5,)"
  R"("idempotent":true,"merge":"concat","limit":0}]}]})";
const std::string kQuery =
  R"({"request_id":"r 1","service":"s","kind":"k","tenant":"t",)"
  R"("issued_at_ms":1000,"deadline_ms":5,"body":{"q":[1,2.5,"é"]}})";
const std::string kSettings =
  R"({"instance":{"id":"e","data_centre":"d"},"listen.caller":"127.0.0.1:1",)"
  R"("listen.peer":"127.0.0.1:2","platform.addresses":["127.0.0.1:3"]})";

/** Changes, drops, doubles or inserts a few bytes. */
std::string
Mutate(std::string aText, random_engine& aRandom)
{
  static const std::string sPieces[] = { "[",
                                         "]",
                                         "{",
                                         "}",
                                         "\"",
                                         ",",
                                         ":",
                                         "null",
                                         "1e9",
                                         "-1",
                                         "0",
                                         "\xff",
                                         "1e999",
                                         "\\u",
                                         "[[[[",
                                         "{\"name\":",
                                         "99999999999999999999" };
  const int edits = 1 + static_cast<int>(aRandom() % 4);
  for (int i = 0; i < edits && !aText.empty(); ++i) {
    const std::size_t at = aRandom() % aText.size();
    const std::string& piece = sPieces[aRandom() % std::size(sPieces)];
    const std::size_t length = 1 + aRandom() % 12;
    switch (aRandom() % 4) {
      case 0:
        aText[at] = static_cast<char>(aRandom() % 256);
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, aText.substr(at, length));
        break;
      default:
        aText.insert(at, piece);
    }
  }
  return aText;
}

void
CheckErrors(const config_errors& aErrors)
{
  ASSERT_FALSE(aErrors.empty());
  for (const config_error& error : aErrors) {
    ASSERT_FALSE(error.mFound.empty());
    ASSERT_FALSE(error.mAllowed.empty());
  }
  ASSERT_TRUE(nlohmann::json::accept(EmitBadQuery(aErrors)));
}

void
CheckAll(const std::string& aText)
{
  if (const auto parsed = ParseManifest(aText, 1); parsed.has_value()) {
    const std::string text = EmitManifest(parsed.value());
    ASSERT_EQ(ParseManifest(text, 1).value(), parsed.value()) << aText;
  } else {
    CheckErrors(parsed.error());
  }
  if (const auto parsed = ParseQuery(aText); parsed.has_value()) {
    const std::string text = EmitQuery(parsed.value());
    ASSERT_EQ(ParseQuery(text).value(), parsed.value()) << aText;
  } else {
    CheckErrors(parsed.error());
  }
  if (const auto parsed = settings::Parse(aText); parsed.has_error()) {
    CheckErrors(parsed.error());
  }
  if (const auto parsed = ParseService(aText); parsed.has_error()) {
    CheckErrors(parsed.error());
  }
  if (const auto parsed = ParseTenants(aText); parsed.has_error()) {
    CheckErrors(parsed.error());
  }
}

TEST(hostile_text, mutations_never_crash_and_what_passes_round_trips)
{
  random_engine random(20261204);
  ASSERT_TRUE(ParseManifest(kManifest, 1).has_value());
  ASSERT_TRUE(ParseQuery(kQuery).has_value());
  ASSERT_TRUE(settings::Parse(kSettings).has_value());
  for (int i = 0; i < 3'000; ++i) {
    for (const std::string* seed : { &kManifest, &kQuery, &kSettings }) {
      CheckAll(Mutate(*seed, random));
    }
  }
}

TEST(hostile_text, any_bytes_never_crash)
{
  const auto texts = rc::gen::arbitrary<std::string>();
  rc::Random random(20261204);
  for (int i = 0; i < 2'000; ++i) {
    CheckAll(texts(random.split(), i % 100).value());
  }
}

TEST(hostile_text, deep_nesting_is_refused)
{
  const std::string deep(30'000, '[');
  CheckErrors(ParseQuery(deep).error());
  CheckErrors(settings::Parse(deep).error());
  const std::string whole = deep + std::string(deep.size(), ']');
  const std::string query = kQuery.substr(0, kQuery.find("{\"q\"")) + whole;
  const auto parsed = ParseQuery(query + "}");
  ASSERT_TRUE(parsed.has_error());
  EXPECT_NE(parsed.error()[0].mFound.find("nesting"), std::string::npos);
}

TEST(hostile_text, a_query_names_each_bad_field)
{
  const auto parsed = ParseQuery(
    R"({"request_id":"","service":"s","kind":7,"tenant":"t","deadline":1})");
  ASSERT_TRUE(parsed.has_error());
  ASSERT_EQ(parsed.error().size(), 3U);
  EXPECT_EQ(parsed.error()[0].mPath, "/request_id");
  EXPECT_EQ(parsed.error()[1].mPath, "/kind");
  EXPECT_EQ(parsed.error()[2].mPath, "/deadline");
}

TEST(hostile_text, an_answer_has_every_field)
{
  model::answer out;
  out.mRequest = model::request_id("r");
  out.mStatus = model::status::Partial;
  out.mReason = "deadline";
  out.mSnapshot = 4;
  out.mManifest = 2;
  out.mCoverage = { 1, 2, { model::coverage_name("\"harbour\"") } };
  out.mResults = "[1]";
  EXPECT_EQ(EmitAnswer(out),
            R"({"coverage":{"answered":1,"missing":["\"harbour\""],"total":2},)"
            R"("manifest":2,"reason":"deadline","request_id":"r",)"
            R"("snapshot":4,"status":"partial","results":[1]})");
}

} // namespace
} // namespace monsooncroft::config
