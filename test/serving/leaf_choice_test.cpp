/**
 * @file leaf_choice_test.cpp
 * Replicas, connections, omissions and merging.
 */
#include "serving/connection_allocation_func.h"
#include "serving/leaf_health_base.h"
#include "serving/record_merge_func.h"
#include "serving/shard_omission_func.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(100) };
constexpr milliseconds kWork{ 10 };

void
Answer(leaf_health& aLeaf, milliseconds aWork, model::instant aNow)
{
  aLeaf.OnAttemptSent(aNow - aWork);
  aLeaf.OnAnswer(aNow - aWork, aWork, kWork, aNow);
}

TEST(LeafLoad, ASlowLeafIsPassedOverAndTriedAgainLater)
{
  leaf_health slow;
  leaf_health usual;
  model::instant now = kStart;
  for (int answer = 0; answer < 8; ++answer) {
    now += milliseconds(50);
    Answer(slow, milliseconds(120), now);
    Answer(usual, kWork, now);
  }
  const std::vector<const leaf_health*> both{ &slow, &usual };
  EXPECT_EQ(ChooseReplica(both, kWork, 0, now), 1U);
  EXPECT_GT(slow.ExpectedLatency(kWork, now), milliseconds(80));
  EXPECT_LT(slow.ExpectedLatency(kWork, now + seconds(6)), milliseconds(12));
}

TEST(LeafLoad, OnePauseTellsNoSpeed)
{
  leaf_health leaf;
  model::instant now = kStart;
  for (int answer = 0; answer < 8; ++answer) {
    now += milliseconds(50);
    Answer(leaf, answer == 4 ? milliseconds(250) : kWork, now);
  }
  EXPECT_LT(leaf.ExpectedLatency(kWork, now), milliseconds(15));
}

TEST(LeafLoad, AnOverdueAnswerMakesSuspectUntilTheNext)
{
  leaf_health leaf;
  Answer(leaf, kWork, kStart);
  leaf.OnAttemptSent(kStart);
  EXPECT_FALSE(leaf.IsSuspect(kWork, kStart + milliseconds(30)));
  EXPECT_TRUE(leaf.IsSuspect(kWork, kStart + milliseconds(80)));
  Answer(leaf, kWork, kStart + milliseconds(90));
  EXPECT_FALSE(leaf.IsSuspect(kWork, kStart + milliseconds(91)));
}

TEST(LeafLoad, DroppedAttemptsTeachSlowness)
{
  leaf_health leaf;
  model::instant now = kStart;
  for (int attempt = 0; attempt < 8; ++attempt) {
    now += milliseconds(100);
    leaf.OnAttemptSent(now - milliseconds(90));
    leaf.OnAttemptDropped(now - milliseconds(90), milliseconds(90), kWork, now);
  }
  EXPECT_GT(leaf.ExpectedLatency(kWork, now), milliseconds(60));
}

/** Where no connection is kept open, only a request can try it. */
TEST(LeafLoad, AFailedLeafIsTriedAgainWithoutASuccess)
{
  leaf_health leaf;
  leaf.OnConnected(milliseconds(1), kStart);
  leaf.OnConnectionRefused(kStart);
  EXPECT_TRUE(leaf.IsKnownUnreachable(kStart + seconds(1)));
  EXPECT_FALSE(leaf.IsKnownUnreachable(kStart + seconds(3)));
  EXPECT_LT(leaf.ExpectedLatency(kWork, kStart + seconds(3)), milliseconds(20));
}

TEST(LeafLoad, ARefusingLeafIsTriedEverLessOften)
{
  leaf_health leaf;
  leaf.OnConnectionRefused(kStart);
  const auto first = leaf.ConnectBackoffUntil() - kStart;
  leaf.OnConnectionRefused(kStart);
  EXPECT_GT(leaf.ConnectBackoffUntil() - kStart, first);
  for (int refusal = 0; refusal < 40; ++refusal) {
    leaf.OnConnectionRefused(kStart);
  }
  EXPECT_LE(leaf.ConnectBackoffUntil() - kStart, seconds(1));
}

TEST(ChooseOmissions, TheLatestOnesUpToWhatMayLack)
{
  const std::vector<model::duration> expected{ milliseconds(10),
                                               milliseconds(300),
                                               milliseconds(90),
                                               milliseconds(200),
                                               milliseconds(400) };
  EXPECT_EQ(ChooseOmittedShards(expected, milliseconds(168), 2),
            (std::vector<std::size_t>{ 4, 1 }));
  EXPECT_EQ(ChooseOmittedShards(expected, milliseconds(168), 5).size(), 3U);
  EXPECT_TRUE(ChooseOmittedShards(expected, milliseconds(700), 5).empty());
}

TEST(SplitLinks, EachInstanceHasItsShareWhereThereIsEnough)
{
  const std::vector<replica_limits> two{ { "a", 26, 2 }, { "b", 26, 2 } };
  EXPECT_EQ(AllocateConnections("i", two, { 9, 3 }),
            (std::vector<replica_connections>{ { 2, true }, { 2, true } }));
  const std::vector<replica_limits> many{ { "a", 110, 6 } };
  EXPECT_EQ(AllocateConnections("i", many, { 9, 3 }),
            (std::vector<replica_connections>{ { 6, true } }));
}

/** 84 instances in 3 data centres, 64 connections, a replica in each. */
TEST(SplitLinks, MoreInstancesThanConnections)
{
  constexpr int kInstances = 84;
  int above = 0;
  for (int shard = 0; shard < 90; ++shard) {
    std::vector<std::size_t> total(3, 0);
    for (int instance = 0; instance < kInstances; ++instance) {
      std::vector<replica_limits> replicas;
      for (int replica = 0; replica < 3; ++replica) {
        replicas.push_back(
          { "l" + std::to_string(shard) + "-" + std::to_string(replica),
            64,
            2,
            replica != instance % 3 });
      }
      const auto shares = AllocateConnections("i" + std::to_string(instance),
                                              replicas,
                                              { kInstances, kInstances / 3 });
      for (int replica = 0; replica < 3; ++replica) {
        total[replica] += shares[replica].mKeepOpen ? 1 : 0;
        EXPECT_EQ(shares[replica].mMaxConnections, 1U);
        EXPECT_EQ(shares[replica].mKeepOpen, replica == instance % 3);
      }
    }
    above += static_cast<int>(
      std::count_if(total.begin(), total.end(), [](std::size_t aCount) {
        return aCount > 64 / 2;
      }));
  }
  // The other half of the limit is for those whose own replica has failed.
  EXPECT_EQ(above, 0);
}

/** All instances in one data centre, whose replica cannot take them all. */
TEST(SplitLinks, NoPreferenceWhereTheOwnDataCentreHasTooFewReplicas)
{
  int own = 0;
  for (int instance = 0; instance < 84; ++instance) {
    const auto shares = AllocateConnections(
      "i" + std::to_string(instance),
      { { "a", 64, 2, false }, { "b", 64, 2, true }, { "c", 64, 2, true } },
      { 84, 84 });
    own += shares[0].mKeepOpen ? 1 : 0;
  }
  EXPECT_LE(own, 64);
}

/** A shard's last replica: no instance keeps a connection from the others. */
TEST(SplitLinks, ConnectionsChangeHandsWhereTheyAreTooFew)
{
  EXPECT_EQ(AllocateConnections("i", { { "a", 64, 2, false } }, { 84, 28 }),
            (std::vector<replica_connections>{ { 1, false } }));
}

/** The same records in any order of parts, as a plain sort gives them. */
TEST(MergeRecords, EqualsAPlainSort)
{
  rc::check([](const std::vector<std::string>& aParts, std::size_t aCount) {
    std::vector<std::string> records;
    std::vector<std::string_view> parts;
    for (const std::string& part : aParts) {
      parts.push_back(part);
      for (std::size_t at = 0; at + kRecordBytes <= part.size();
           at += kRecordBytes) {
        records.push_back(part.substr(at, kRecordBytes));
      }
    }
    std::sort(records.rbegin(), records.rend());
    const std::size_t count = std::min(records.size(), aCount % 30);
    std::string expected;
    for (std::size_t place = 0; place < count; ++place) {
      expected += records[place];
    }
    RC_ASSERT(MergeRecords(parts, aCount % 30) == expected);
  });
}

TEST(MergeRecords, BytesCompareUnsignedAndEqualOnesAllCount)
{
  const std::string high(kRecordBytes, '\xff');
  const std::string low(kRecordBytes, '\x01');
  const std::vector<std::string> parts{ low + high + "rest", high };
  EXPECT_EQ(MergeRecords({ parts[0], parts[1] }, 3), high + high + low);
}

} // namespace
} // namespace monsooncroft::serving
