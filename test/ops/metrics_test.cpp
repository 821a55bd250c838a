/**
 * @file metrics_test.cpp
 * Recorded metrics appear unchanged in both outputs, separately for each key.
 */
#include "ops/metrics_base.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

namespace monsooncroft::ops {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

metrics_key
Key(const char* aTenant)
{
  return { model::service_id("routes"),
           model::kind_id("route"),
           model::workspace_id(aTenant) };
}

TEST(metrics, keeps_each_tenant_apart)
{
  metrics figures;
  figures.RecordQuery(Key("a"), { 10ms, 1.0, 4, 4, "complete" });
  figures.RecordQuery(Key("b"), { 20ms, 0.5, 3, 4, "partial" });
  const auto rows = nlohmann::json::parse(figures.Summary()).at("queries");
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows[0].at("tenant"), "a");
  EXPECT_EQ(rows[0].at("attempts"), 4);
  EXPECT_EQ(rows[1].at("statuses").at("partial"), 1);
  EXPECT_DOUBLE_EQ(rows[1].at("coverage_mean"), 0.5);
}

TEST(metrics, exposition_escapes_labels)
{
  metrics figures;
  figures.Count("hedges_sent", 2);
  figures.RecordQuery(Key("a\"b"), { 10ms, 1.0, 4, 4, "complete" });
  const std::string text = figures.Exposition();
  EXPECT_THAT(text, HasSubstr("monsooncroft_hedges_sent_total 2\n"));
  EXPECT_THAT(text, HasSubstr(R"(tenant="a\"b")"));
}

TEST(metrics, labelled_counters_are_bounded)
{
  metrics figures;
  for (int i = 0; i < 1000; ++i) {
    figures.Count("ends", { { "reason", "r" + std::to_string(i) } });
  }
  figures.Count("ends", { { "reason", "r0" } });
  const auto rows =
    nlohmann::json::parse(figures.Summary()).at("labelled").at("ends");
  EXPECT_EQ(rows.size(), 257U);
  const std::string text = figures.Exposition();
  EXPECT_THAT(text, HasSubstr("monsooncroft_ends_total{reason=\"r0\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("{reason=\"other\"} 744\n"));
}

} // namespace
} // namespace monsooncroft::ops
