/**
 * @file fleet_limit_test.cpp
 * Leaves that name a rate limit, and fleets that would send more, in virtual
 * time.
 */
#include "serving/leaf_limit_table_base.h"
#include "serving/local_permits_base.h"
#include "serving/permit_issuer_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(100) };
constexpr seconds kWindow{ 4 };
/** Time from the issuer's end until another instance takes over. */
constexpr seconds kTakeover{ 2 };

/** A fleet that sends to one leaf. */
struct load
{
  std::size_t mInstances = 6;
  double mPerSecond = 0; ///< Requests of the fleet.
  double mLimit = 0;
  /** When the issuer ends and loses its state. */
  std::optional<seconds> mIssuerEndsAt{};
};

/** @return When the leaf got requests in 20 s. */
std::vector<model::instant>
Arrivals(const load& aLoad)
{
  std::vector<model::instant> arrivals;
  std::mt19937_64 random(11);
  std::exponential_distribution<double> gap(aLoad.mPerSecond);
  permit_issuer issuer;
  std::vector<local_permits> local;
  for (std::size_t index = 0; index < aLoad.mInstances; ++index) {
    local.emplace_back(index);
  }
  bool replaced = false;
  model::instant now = kStart;
  while (now < kStart + seconds(20)) {
    now += std::chrono::duration_cast<model::duration>(
      std::chrono::duration<double>(gap(random)));
    const std::size_t instance = random() % aLoad.mInstances;
    const permit_item item{ "leaf", aLoad.mLimit };
    bool granted = false;
    const bool issuerEnded =
      aLoad.mIssuerEndsAt && now >= kStart + *aLoad.mIssuerEndsAt;
    if (issuerEnded && now < kStart + *aLoad.mIssuerEndsAt + kTakeover) {
      granted = local[instance].Decide(item, aLoad.mInstances, now).mGranted;
    } else {
      if (issuerEnded && !replaced) {
        issuer = {};
        replaced = true;
      }
      permit_request request;
      request.mRequired = 1;
      request.mLeaves = { item };
      granted = issuer.Decide(request, 1, now).front().mGranted;
    }
    if (granted) {
      arrivals.push_back(now);
    }
  }
  return arrivals;
}

std::size_t
MostInAWindow(const std::vector<model::instant>& aArrivals)
{
  std::size_t most = 0;
  for (auto first = aArrivals.begin(); first != aArrivals.end(); ++first) {
    const auto end = std::lower_bound(first, aArrivals.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

/** Each instance kept to the limit, or none did, so that the fleet sent many
 * times as much. */
TEST(fleet_limit, HoldsForTheFleetAndIsUsedUp)
{
  for (const std::size_t instances : { 6, 84 }) {
    for (const double limit : { 1.0, 7.0, 22.0, 200.0 }) {
      const auto arrivals = Arrivals({ instances, 3 * limit, limit });
      EXPECT_LE(MostInAWindow(arrivals), 1.5 * limit * 4 + 5)
        << instances << " instances, " << limit << " a second";
      EXPECT_GE(arrivals.size(), 0.9 * limit * 20)
        << instances << " instances, " << limit << " a second";
    }
  }
}

/** The issuer's count of what it has granted is lost with it. */
TEST(fleet_limit, HoldsWhileTheIssuerIsReplaced)
{
  for (const std::size_t instances : { 6, 84 }) {
    for (const double limit : { 1.0, 7.0, 22.0 }) {
      const auto arrivals =
        Arrivals({ instances, 5 * limit, limit, seconds(9) });
      EXPECT_LE(MostInAWindow(arrivals), 1.5 * limit * 4 + 5)
        << instances << " instances, " << limit << " a second";
    }
  }
}

/** Urgent requests were refused as often as patient ones. */
TEST(fleet_limit, UrgentRequestsComeFirst)
{
  permit_issuer issuer;
  std::mt19937_64 random(5);
  int urgentAsked = 0;
  int urgentGranted = 0;
  int patientGranted = 0;
  for (int request = 0; request < 2'000; ++request) {
    permit_request asked;
    asked.mTargetLatencyMs = random() % 4 == 0 ? 0 : 1;
    asked.mRequired = 1;
    asked.mLeaves = { { "leaf", 20 } };
    const bool granted =
      issuer.Decide(asked, 1, kStart + milliseconds(20 * request))
        .front()
        .mGranted;
    urgentAsked += asked.mTargetLatencyMs == 0 ? 1 : 0;
    urgentGranted += granted && asked.mTargetLatencyMs == 0 ? 1 : 0;
    patientGranted += granted && asked.mTargetLatencyMs == 1 ? 1 : 0;
  }
  EXPECT_GE(urgentGranted, 0.97 * urgentAsked);
  EXPECT_GE(patientGranted, 100);
}

/** With the leaves of all shards limited to half of the demand, independent
 * decisions for each shard would leave every query with half of its shards. */
TEST(fleet_limit, QueriesGetAllTheirPermitsOrNone)
{
  constexpr std::size_t kShards = 20;
  constexpr std::size_t kRequired = 18;
  permit_issuer issuer;
  int served = 0;
  constexpr int kQueries = 900; // 90 per second.
  for (int query = 0; query < kQueries; ++query) {
    permit_request request;
    request.mRequired = kRequired;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      request.mLeaves.push_back({ "leaf" + std::to_string(shard), 45 });
    }
    const auto decisions =
      issuer.Decide(request, 1, kStart + milliseconds(11 * query));
    const auto granted =
      std::count_if(decisions.begin(), decisions.end(), [](const auto& aEach) {
        return aEach.mGranted;
      });
    EXPECT_TRUE(granted == 0 || granted >= static_cast<long>(kRequired));
    served += granted > 0 ? 1 : 0;
  }
  EXPECT_GE(served, 0.95 * kQueries * 45 / 90);
}

/** Half of a fleet that is cut in two would otherwise use the whole limit each.
 */
TEST(fleet_limit, EachPartOfACutFleetUsesItsShare)
{
  permit_issuer issuer;
  int granted = 0;
  for (int request = 0; request < 1'000; ++request) {
    permit_request asked;
    asked.mRequired = 1;
    asked.mLeaves = { { "leaf", 20 } };
    granted +=
      issuer.Decide(asked, 1.0 / 3, kStart + milliseconds(10 * request))
        .front()
        .mGranted;
  }
  EXPECT_LE(granted, 10 * 20 / 3 + 5);
}

TEST(fleet_limit, TheLatestObservationOfALimitCounts)
{
  leaf_limit_table table;
  EXPECT_TRUE(table.OnAnswer("leaf", 1, 10, kStart));
  EXPECT_FALSE(table.OnAnswer("leaf", 1, 10, kStart + seconds(2)));
  // A peer saw the end before this instance saw the limit again.
  EXPECT_FALSE(
    table.OnReport({ "leaf", 1, 0, 2'000 }, kStart + milliseconds(3'000)));
  EXPECT_EQ(table.Limit("leaf"), 10);
  EXPECT_TRUE(
    table.OnReport({ "leaf", 1, 0, 100 }, kStart + milliseconds(3'500)));
  EXPECT_EQ(table.Limit("leaf"), std::nullopt);
  // A late report of the limit does not bring it back.
  EXPECT_FALSE(
    table.OnReport({ "leaf", 1, 10, 1'000 }, kStart + milliseconds(3'600)));
  EXPECT_EQ(table.Limit("leaf"), std::nullopt);
  // Nor does one of an earlier incarnation.
  EXPECT_TRUE(table.OnAnswer("leaf", 2, 3, kStart + seconds(5)));
  EXPECT_FALSE(
    table.OnReport({ "leaf", 1, 10, 0 }, kStart + milliseconds(6'000)));
  EXPECT_EQ(table.Limit("leaf"), 3);
}

TEST(fleet_limit, AllLimitsAreReportedInTurn)
{
  leaf_limit_table table;
  for (int leaf = 0; leaf < 5; ++leaf) {
    table.OnAnswer("leaf" + std::to_string(leaf), 1, 10, kStart);
  }
  std::vector<std::string> reported;
  for (int round = 0; round < 3; ++round) {
    for (const auto& report : table.NextReports(2, kStart)) {
      reported.push_back(report.mLeafId);
    }
  }
  std::sort(reported.begin(), reported.end());
  reported.erase(std::unique(reported.begin(), reported.end()), reported.end());
  EXPECT_EQ(reported.size(), 5U);
}

} // namespace
} // namespace monsooncroft::serving
