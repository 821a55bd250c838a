/**
 * @file leaf_choice_test.cpp
 * Choice of replicas, allocation of connections, omission of shards, and
 * merging of shard results.
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
constexpr milliseconds kMeanServiceTime{ 10 };

void
Answer(leaf_health& aLeaf, milliseconds aServiceTime, model::instant aNow)
{
  aLeaf.OnAttemptSent(aNow - aServiceTime);
  aLeaf.OnAnswer(aNow - aServiceTime, aServiceTime, kMeanServiceTime, aNow);
}

TEST(LeafHealth, ASlowLeafIsAvoidedAndTriedAgainLater)
{
  leaf_health slow;
  leaf_health normal;
  model::instant now = kStart;
  for (int answer = 0; answer < 8; ++answer) {
    now += milliseconds(50);
    Answer(slow, milliseconds(120), now);
    Answer(normal, kMeanServiceTime, now);
  }
  const std::vector<const leaf_health*> replicas{ &slow, &normal };
  EXPECT_EQ(ChooseReplica(replicas, kMeanServiceTime, 0, now), 1U);
  EXPECT_GT(slow.ExpectedLatency(kMeanServiceTime, now), milliseconds(80));
  EXPECT_LT(slow.ExpectedLatency(kMeanServiceTime, now + seconds(6)),
            milliseconds(12));
}

TEST(LeafHealth, ASingleSlowAnswerDoesNotRaiseTheExpectedLatency)
{
  leaf_health leaf;
  model::instant now = kStart;
  for (int answer = 0; answer < 8; ++answer) {
    now += milliseconds(50);
    Answer(leaf, answer == 4 ? milliseconds(250) : kMeanServiceTime, now);
  }
  EXPECT_LT(leaf.ExpectedLatency(kMeanServiceTime, now), milliseconds(15));
}

TEST(LeafHealth, IsSuspectFromAnOverdueAnswerToTheNextAnswer)
{
  leaf_health leaf;
  Answer(leaf, kMeanServiceTime, kStart);
  leaf.OnAttemptSent(kStart);
  EXPECT_FALSE(leaf.IsSuspect(kMeanServiceTime, kStart + milliseconds(30)));
  EXPECT_TRUE(leaf.IsSuspect(kMeanServiceTime, kStart + milliseconds(80)));
  Answer(leaf, kMeanServiceTime, kStart + milliseconds(90));
  EXPECT_FALSE(leaf.IsSuspect(kMeanServiceTime, kStart + milliseconds(91)));
}

TEST(LeafHealth, DroppedAttemptsRaiseTheExpectedLatency)
{
  leaf_health leaf;
  model::instant now = kStart;
  for (int attempt = 0; attempt < 8; ++attempt) {
    now += milliseconds(100);
    leaf.OnAttemptSent(now - milliseconds(90));
    leaf.OnAttemptDropped(
      now - milliseconds(90), milliseconds(90), kMeanServiceTime, now);
  }
  EXPECT_GT(leaf.ExpectedLatency(kMeanServiceTime, now), milliseconds(60));
}

/** Without a connection that is kept open, only a request can find out that a
 * failed leaf has recovered. */
TEST(LeafHealth, AFailedLeafIsTriedAgainWithoutAContact)
{
  leaf_health leaf;
  leaf.OnConnected(milliseconds(1), kStart);
  leaf.OnConnectionRefused(kStart);
  EXPECT_TRUE(leaf.IsKnownUnreachable(kStart + seconds(1)));
  EXPECT_FALSE(leaf.IsKnownUnreachable(kStart + seconds(3)));
  EXPECT_LT(leaf.ExpectedLatency(kMeanServiceTime, kStart + seconds(3)),
            milliseconds(20));
}

TEST(LeafHealth, ConnectBackoffGrowsUpToALimit)
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

TEST(ChooseOmittedShards, OmitsTheSlowestLateShardsUpToTheLimit)
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

/** On a slow machine its own processor time is part of the expected latency of
 * every shard. Fan-outs omitted as many shards as they may, and then were late
 * whenever one of the others paused. */
TEST(ChooseOmittedShards, KeepsShardsThatAreAsFastAsTheOthers)
{
  std::vector<model::duration> expected;
  for (int shard = 0; shard < 130; ++shard) {
    expected.emplace_back(milliseconds(26 + shard % 20));
  }
  for (int shard = 0; shard < 5; ++shard) {
    expected.emplace_back(milliseconds(100 + shard));
  }
  EXPECT_EQ(ChooseOmittedShards(expected, milliseconds(30), 20),
            (std::vector<std::size_t>{ 134, 133, 132, 131, 130 }));
}

TEST(AllocateConnections, EachInstanceGetsItsShareWhereTheLimitSuffices)
{
  const std::vector<replica_limits> two{ { "a", 26, 2 }, { "b", 26, 2 } };
  EXPECT_EQ(AllocateConnections("i", two, { 9, 3 }),
            (std::vector<replica_connections>{ { 2, true }, { 2, true } }));
  const std::vector<replica_limits> manySlots{ { "a", 110, 6 } };
  EXPECT_EQ(AllocateConnections("i", manySlots, { 9, 3 }),
            (std::vector<replica_connections>{ { 6, true } }));
}

/** 84 instances in 3 data centres, 64 connections per replica, a replica in
 * each data centre: each instance keeps a connection to the replica of its own
 * data centre. */
TEST(AllocateConnections, MoreInstancesThanConnections)
{
  constexpr int kInstances = 84;
  int overloaded = 0;
  for (int shard = 0; shard < 90; ++shard) {
    std::vector<std::size_t> kept(3, 0);
    for (int instance = 0; instance < kInstances; ++instance) {
      std::vector<replica_limits> replicas;
      for (int replica = 0; replica < 3; ++replica) {
        replicas.push_back(
          { "l" + std::to_string(shard) + "-" + std::to_string(replica),
            64,
            2,
            replica != instance % 3 });
      }
      const auto allocation =
        AllocateConnections("i" + std::to_string(instance),
                            replicas,
                            { kInstances, kInstances / 3 });
      for (int replica = 0; replica < 3; ++replica) {
        kept[replica] += allocation[replica].mKeepOpen ? 1 : 0;
        EXPECT_EQ(allocation[replica].mMaxConnections, 1U);
        EXPECT_EQ(allocation[replica].mKeepOpen, replica == instance % 3);
      }
    }
    overloaded += static_cast<int>(
      std::count_if(kept.begin(), kept.end(), [](std::size_t aCount) {
        return aCount > 64 / 2;
      }));
  }
  // The other half of the limit is for instances whose own replica has failed.
  EXPECT_EQ(overloaded, 0);
}

/** All instances are in one data centre, whose replica does not accept a kept
 * connection of each of them. */
TEST(AllocateConnections, OwnDataCentreIsNotPreferredIfItsReplicasAreTooFew)
{
  int inOwnDataCentre = 0;
  for (int instance = 0; instance < 84; ++instance) {
    const auto allocation = AllocateConnections(
      "i" + std::to_string(instance),
      { { "a", 64, 2, false }, { "b", 64, 2, true }, { "c", 64, 2, true } },
      { 84, 84 });
    inOwnDataCentre += allocation[0].mKeepOpen ? 1 : 0;
  }
  EXPECT_LE(inOwnDataCentre, 64);
}

/** A shard has a single replica left: kept connections would lock out the other
 * instances, so none is kept. */
TEST(AllocateConnections, NoneIsKeptWhereTheReplicasAcceptTooFew)
{
  EXPECT_EQ(AllocateConnections("i", { { "a", 64, 2, false } }, { 84, 28 }),
            (std::vector<replica_connections>{ { 1, false } }));
}

/** The merged records equal a plain sort of all records. */
TEST(MergeRecords, EqualsAPlainSort)
{
  rc::check([](const std::vector<std::string>& aBodies, std::size_t aCount) {
    std::vector<std::string> records;
    std::vector<std::string_view> results;
    for (const std::string& body : aBodies) {
      results.push_back(body);
      for (std::size_t offset = 0; offset + kRecordBytes <= body.size();
           offset += kRecordBytes) {
        records.push_back(body.substr(offset, kRecordBytes));
      }
    }
    std::sort(records.rbegin(), records.rend());
    const std::size_t count = std::min(records.size(), aCount % 30);
    std::string expected;
    for (std::size_t index = 0; index < count; ++index) {
      expected += records[index];
    }
    RC_ASSERT(MergeRecords(results, aCount % 30) == expected);
  });
}

TEST(MergeRecords, ComparesBytesAsUnsignedAndKeepsDuplicates)
{
  const std::string high(kRecordBytes, '\xff');
  const std::string low(kRecordBytes, '\x01');
  const std::vector<std::string> results{ low + high + "rest", high };
  EXPECT_EQ(MergeRecords({ results[0], results[1] }, 3), high + high + low);
}

} // namespace
} // namespace monsooncroft::serving
