/**
 * @file leaf_notice_test.cpp
 * Departures and pauses that leaves name in their answers.
 */
#include "serving/fleet_codec_func.h"
#include "serving/leaf_notice_table_base.h"
#include "serving/leaf_registration_type.h"
#include "serving/retry_after_func.h"

#include <gtest/gtest.h>

#include <set>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kWallMs = 1'700'000'000'000;
const model::instant kStart{ seconds(100) };
const model::wall_instant kWall{ milliseconds(kWallMs) };
const auto kAll = [](const std::string& /*aId*/) { return true; };
const auto kNone = [](const std::string& /*aId*/) { return false; };

leaf_registration
Leaf(const std::string& aId, std::uint64_t aStartedMs)
{
  leaf_registration leaf;
  leaf.mId = aId;
  leaf.mIncarnation = aStartedMs;
  return leaf;
}

/** A leaf that starts again under the id of one that left must be used. */
TEST(LeafNotices, ADepartureHoldsForOneProcess)
{
  leaf_notice_table table;
  const leaf_registration leaf = Leaf("a", kWallMs - 60'000);
  EXPECT_TRUE(table.OnLeaving(leaf, kWall));
  EXPECT_FALSE(table.OnLeaving(leaf, kWall + seconds(1)));
  EXPECT_TRUE(table.IsLeaving(leaf));
  EXPECT_FALSE(table.IsLeaving(Leaf("b", leaf.mIncarnation)));
  EXPECT_FALSE(table.IsLeaving(Leaf("a", kWallMs + 1)));
}

/** An answer came from a process that had started after the registration under
 * which the request was sent; when its registration arrived, it was taken for a
 * new leaf. */
TEST(LeafNotices, ARegistrationOlderThanTheAnsweringProcess)
{
  leaf_notice_table table;
  table.OnLeaving(Leaf("a", kWallMs - 60'000), kWall);
  EXPECT_TRUE(table.IsLeaving(Leaf("a", kWallMs - 30'000)));
}

TEST(LeafNotices, TheLongestPauseCountsForOneProcess)
{
  leaf_notice_table table;
  const leaf_registration leaf = Leaf("a", kWallMs - 60'000);
  EXPECT_TRUE(table.OnPause(leaf, seconds(3), kStart, kWall));
  EXPECT_FALSE(table.OnPause(leaf, seconds(1), kStart + seconds(1), kWall));
  EXPECT_EQ(table.PausedUntil(leaf), kStart + seconds(3));
  EXPECT_LE(table.PausedUntil(Leaf("a", kWallMs + 1)), kStart);
  EXPECT_TRUE(table.OnPause(leaf, seconds(1), kStart + seconds(4), kWall));
  EXPECT_EQ(table.PausedUntil(leaf), kStart + seconds(5));
}

/** An instance that has started again knows no departures: peers repeat them,
 * as long as the leaf's registration does not tell. */
TEST(LeafNotices, AllDeparturesAreReportedInTurn)
{
  leaf_notice_table table;
  for (int index = 0; index < 10; ++index) {
    table.OnLeaving(Leaf("l" + std::to_string(index), 1), kWall);
  }
  table.OnPause(Leaf("paused", 1), seconds(1), kStart, kWall);
  leaf_notice_table other;
  std::set<std::string> reported;
  for (int round = 0; round < 3; ++round) {
    for (const leaf_departure& report : table.NextReports(4, kAll)) {
      reported.insert(report.mLeafId);
      EXPECT_TRUE(other.OnReport(report) || round == 2);
    }
  }
  EXPECT_EQ(reported.size(), 10U);
  EXPECT_TRUE(other.IsLeaving(Leaf("l0", 1)));
  EXPECT_FALSE(other.IsLeaving(Leaf("l0", kWallMs + 1)));
  EXPECT_TRUE(table.NextReports(4, kNone).empty());
}

/** A registration may lapse in an outage of the store and return. */
TEST(LeafNotices, ForgetsLeavesThatHaveNotBeenRegisteredForLong)
{
  leaf_notice_table table;
  table.OnLeaving(Leaf("a", 1), kWall);
  table.OnTimer(kAll, kStart);
  table.OnTimer(kNone, kStart + minutes(5));
  EXPECT_TRUE(table.IsLeaving(Leaf("a", 1)));
  table.OnTimer(kAll, kStart + minutes(6));
  table.OnTimer(kNone, kStart + minutes(15));
  EXPECT_EQ(table.Size(), 1U);
  table.OnTimer(kNone, kStart + minutes(17));
  EXPECT_EQ(table.Size(), 0U);
}

TEST(LeafNotices, DeparturesRoundTripAndOldMessagesHaveNone)
{
  fleet_message message;
  message.mMembers = { fleet_member{} };
  EXPECT_EQ(DecodeMessage(EncodeMessage(message)), message);
  message.mLeafDepartures = { { "a", kWallMs }, { "b", 1 } };
  EXPECT_EQ(DecodeMessage(EncodeMessage(message)), message);
  message.mLeafLimits = { { "c", 1, 2.5, 30 } };
  EXPECT_EQ(DecodeMessage(EncodeMessage(message)), message);
}

TEST(RetryAfter, SecondsWithAFractionUpToAMaximum)
{
  const auto parse = [](const char* aValue) {
    return ParseRetryAfter(aValue, seconds(60));
  };
  EXPECT_EQ(parse("2"), (requested_pause{ seconds(2), false }));
  EXPECT_EQ(parse("0.25"), (requested_pause{ milliseconds(250), false }));
  EXPECT_EQ(parse("0"), (requested_pause{ milliseconds(0), false }));
  EXPECT_EQ(parse("61"), (requested_pause{ seconds(60), true }));
  EXPECT_EQ(parse("1e999"), (requested_pause{ seconds(60), true }));
  for (const char* value :
       { "", "soon", "-1", "-1e999", "nan", "inf", "-inf", "2 s", "0x10" }) {
    EXPECT_FALSE(parse(value)) << value;
  }
}

TEST(RetryAfter, TheReturnDelayWaitsForTheRequiredShardsOnly)
{
  const std::vector<model::duration> delays{
    seconds(9), seconds(0), seconds(2), seconds(0)
  };
  EXPECT_EQ(ReturnDelay(delays, 2), seconds(0));
  EXPECT_EQ(ReturnDelay(delays, 3), seconds(2));
  EXPECT_EQ(ReturnDelay(delays, 4), seconds(9));
  EXPECT_EQ(ReturnDelay({}, 1), seconds(0));
}

} // namespace
} // namespace monsooncroft::serving
