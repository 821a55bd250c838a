/**
 * @file routing_test.cpp
 * Route matching, traffic splits and the decision on a request's answer.
 */
#include "serving/answer_rule_func.h"
#include "serving/route_latency_type.h"
#include "serving/routing_config_base.h"
#include "serving/weighted_split_base.h"

#include <gtest/gtest.h>

#include <map>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

route
MakeRoute(const std::string& aName,
          const std::string& aHost,
          const std::string& aPrefix)
{
  route out;
  out.mName = aName;
  out.mHost = aHost;
  out.mPrefix = aPrefix;
  out.mTargets = { { "service-of-" + aName, 1 } };
  return out;
}

TEST(RoutingConfig, MatchesTheLongestPrefixOfTheHost)
{
  routing_config::content content;
  content.mRoutes = { MakeRoute("short", "a.example", "/x/"),
                      MakeRoute("long", "a.example", "/x/y/"),
                      MakeRoute("other", "b.example", "/x/y/z/") };
  const auto config = routing_config::Create(content);
  EXPECT_EQ(config->Match("A.example:80", "/x/y/z/1?q=/x/")->mName, "long");
  EXPECT_EQ(config->Match("a.example", "/x/yy")->mName, "short");
  EXPECT_EQ(config->Match("a.example", "/x"), nullptr);
  EXPECT_EQ(config->Match("c.example", "/x/"), nullptr);
}

TEST(RoutingConfig, RoutedServicesHaveNoDuplicates)
{
  routing_config::content content;
  content.mRoutes = { MakeRoute("one", "a", "/1/"),
                      MakeRoute("two", "a", "/2/") };
  content.mRoutes[0].mTargets = { { "s", 1 } };
  content.mRoutes[1].mTargets.clear();
  content.mRoutes[1].mShards = { "s", "t" };
  EXPECT_EQ(routing_config::Create(content)->RoutedServices(),
            (std::vector<std::string>{ "s", "t" }));
}

TEST(WeightedSplit, SharesHoldForFewRequestsOnEachOfManyInstances)
{
  route split = MakeRoute("split", "a", "/");
  split.mTargets = { { "heavy", 7 }, { "light", 3 } };
  std::map<std::string, int> counts;
  constexpr int kInstances = 84;
  constexpr int kRequests = 4;
  for (int instance = 0; instance < kInstances; ++instance) {
    weighted_split each(static_cast<double>(instance) / kInstances);
    for (int request = 0; request < kRequests; ++request) {
      ++counts[each.NextService(split)];
    }
  }
  const double share =
    static_cast<double>(counts["heavy"]) / (kInstances * kRequests);
  EXPECT_NEAR(share, 0.7, 0.05);
}

TEST(WeightedSplit, NewWeightsApplyToTheNextRequest)
{
  route split = MakeRoute("split", "a", "/");
  split.mTargets = { { "a", 1 }, { "b", 0 } };
  weighted_split each(0);
  EXPECT_EQ(each.NextService(split), "a");
  split.mTargets = { { "a", 0 }, { "b", 1 } };
  for (int request = 0; request < 10; ++request) {
    EXPECT_EQ(each.NextService(split), "b");
  }
}

TEST(AnswerRule, WaitsForAllShardsThenForTheRequiredOnesThenGivesUp)
{
  const model::instant start{};
  const answer_requirements requirements{ 20,
                                          RequiredShards(20, 0.89),
                                          start + milliseconds(67),
                                          start + milliseconds(900) };
  EXPECT_EQ(requirements.mRequiredShards, 18U);
  const auto decide =
    [&](std::size_t aAnswered, std::size_t aPending, int aMs) {
      return DecideAnswer(
        requirements, { aAnswered, aPending }, start + milliseconds(aMs));
    };
  EXPECT_EQ(decide(19, 1, 66), answer_decision::Wait);
  EXPECT_EQ(decide(20, 0, 10), answer_decision::Answer);
  EXPECT_EQ(decide(18, 2, 67), answer_decision::Answer);
  EXPECT_EQ(decide(17, 3, 500), answer_decision::Wait);
  EXPECT_EQ(decide(17, 0, 10), answer_decision::GiveUp);
  EXPECT_EQ(decide(10, 7, 10), answer_decision::GiveUp);
  EXPECT_EQ(decide(17, 3, 900), answer_decision::GiveUp);
  EXPECT_EQ(decide(18, 2, 900), answer_decision::Answer);
}

TEST(AnswerRule, SubtractsTheCallersNetworkTimeFromTheTarget)
{
  const answer_timing timing;
  const auto delay = [&](int aTargetMs, int aNetworkMs) {
    return PartialAnswerDelay(milliseconds(aTargetMs),
                              milliseconds(aNetworkMs),
                              milliseconds(0),
                              timing);
  };
  for (const int target : { 40, 80, 200, 800 }) {
    for (const int network : { 1, 6, 13 }) {
      EXPECT_LE(delay(target, network) + milliseconds(network),
                milliseconds(target - 2));
    }
  }
  EXPECT_EQ(delay(100, 0), milliseconds(84));
  EXPECT_EQ(delay(40, 100), milliseconds(20));
}

/** A small machine takes milliseconds to merge and send the answer of a large
 * fan-out. Answers that were decided on in time reached their callers late. */
TEST(AnswerRule, SubtractsTheTimeToAnswerFromTheTarget)
{
  route_latency latency(milliseconds(40));
  const auto delay = [&](int aNetworkMs) {
    return PartialAnswerDelay(
      milliseconds(40), milliseconds(aNetworkMs), latency.AnswerTime(), {});
  };
  const auto before = delay(4);
  EXPECT_EQ(latency.AnswerTime(), milliseconds(0));
  latency.AddAnswerTime(milliseconds(3));
  EXPECT_EQ(delay(4), before - milliseconds(3));
  EXPECT_EQ(delay(0), model::duration(33'600) - milliseconds(3));
  // A single delayed answer changes little; a lasting change is followed.
  latency.AddAnswerTime(milliseconds(11));
  EXPECT_EQ(latency.AnswerTime(), milliseconds(4));
  for (int answer = 0; answer < 40; ++answer) {
    latency.AddAnswerTime(milliseconds(8));
  }
  EXPECT_GT(latency.AnswerTime(), milliseconds(7));
  latency.AddAnswerTime(seconds(60));
  EXPECT_EQ(delay(4), milliseconds(20));
}

TEST(AnswerRule, RequiredShardsAreExactInBinaryFractions)
{
  EXPECT_EQ(RequiredShards(20, 0.75), 15U);
  EXPECT_EQ(RequiredShards(90, 0.95), 86U);
  EXPECT_EQ(RequiredShards(20, 0), 1U);
  EXPECT_EQ(RequiredShards(20, 1), 20U);
}

} // namespace
} // namespace monsooncroft::serving
