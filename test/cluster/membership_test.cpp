/**
 * @file membership_test.cpp
 * Guards against members that are wrongly declared dead, that stay in the views
 * after a crash, or that do not return after a pause or a partition, on a
 * network that loses packets.
 */
#include "cluster/fake_network.h"

#include <gtest/gtest.h>

namespace monsooncroft::test {

namespace {

constexpr std::uint64_t kSeed = 7;

bool
NoInstanceSees(const fake_network& aNetwork, const std::string& aId)
{
  for (const auto& [id, instance] : aNetwork.mInstances) {
    if (instance.mUp && aNetwork.SeenBy(id).count(aId) != 0) {
      return false;
    }
  }
  return true;
}

std::set<std::string>
AllIds(const fake_network& aNetwork)
{
  std::set<std::string> ids;
  for (const auto& [id, instance] : aNetwork.mInstances) {
    ids.insert(id);
  }
  return ids;
}

class cluster_size : public testing::TestWithParam<std::pair<int, int>>
{
protected:
  cluster_size()
    : mNetwork(kSeed)
  {
    mNetwork.AddMany(GetParam().first, GetParam().second);
    mNetwork.Run(10s);
  }
  fake_network mNetwork;
};

TEST_P(cluster_size, DeadMemberIsRemovedOnceSuspicionEnds)
{
  ASSERT_TRUE(mNetwork.Converged());
  mNetwork.Kill("dc0-1");
  const auto took =
    mNetwork.RunUntil([&] { return NoInstanceSees(mNetwork, "dc0-1"); }, 30s);
  RecordProperty("took_ms", static_cast<int>(took.count()));
  EXPECT_LE(took, 12s);
  mNetwork.Run(10s);
  EXPECT_TRUE(mNetwork.Converged());
}

TEST_P(cluster_size, LeavingMemberTakesNoWorkWithinSeconds)
{
  auto& leaving = mNetwork.mInstances.at("dc0-1");
  mNetwork.Execute(leaving, leaving.mCore->Leave(mNetwork.Now()));
  const auto took =
    mNetwork.RunUntil([&] { return NoInstanceSees(mNetwork, "dc0-1"); }, 30s);
  EXPECT_LE(took, 3s);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         cluster_size,
                         testing::Values(std::pair(3, 3),
                                         std::pair(3, 10),
                                         std::pair(4, 25)));

TEST(Membership, PacketLossLeavesNoFalseDeath)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.mLoss = 0.2;
  network.Run(120s);
  network.mLoss = 0;
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 30s), 30s);
}

TEST(Membership, PausedInstanceIsDeclaredDeadAndRefutesOnceItResumes)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  auto& paused = network.mInstances.at("dc1-0");
  const auto before = paused.mCore->Members().Self().mIncarnation;
  paused.mPausedUntil = network.Now().mNow + 30s;
  const auto outAfter = network.RunUntil(
    [&] { return network.SeenBy("dc0-0").count("dc1-0") == 0; }, 20s);
  EXPECT_LT(outAfter, 12s);
  network.Run(30s - outAfter);
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 20s), 10s);
  EXPECT_GT(paused.mCore->Members().Self().mIncarnation, before);
}

TEST(Membership, PartitionedInstanceConvergesOnceTheCutHeals)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  network.Partition([](const auto& aFrom, const auto& aTo) {
    const bool from = aFrom.mId.Value() == "dc0-0";
    const bool to = aTo.mId.Value() == "dc0-0";
    return from != to;
  });
  network.Run(60s);
  EXPECT_EQ(network.SeenBy("dc0-1").count("dc0-0"), 0U);
  network.Partition(nullptr);
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 60s), 30s);
}

TEST(Membership, HalvesOfADataCentreConvergeAfterAPartition)
{
  fake_network network(kSeed);
  network.AddMany(1, 6);
  network.Run(10s);
  network.Partition([](const auto& aFrom, const auto& aTo) {
    return (aFrom.mId.Value() < "dc0-3") != (aTo.mId.Value() < "dc0-3");
  });
  network.Run(60s);
  EXPECT_EQ(network.SeenBy("dc0-0").size(), 3U);
  network.Partition(nullptr);
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 60s), 15s);
}

TEST(Membership, IndirectProbesBridgeACutBetweenTwoInstances)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  auto& one = network.mInstances.at("dc0-0");
  const auto before = one.mCore->Members().Self().mIncarnation;
  network.Partition([](const auto& aFrom, const auto& aTo) {
    const std::set<std::string> pair{ aFrom.mId.Value(), aTo.mId.Value() };
    return pair == std::set<std::string>{ "dc0-0", "dc0-1" };
  });
  network.Run(60s);
  EXPECT_TRUE(network.Converged());
  // The incarnation is unchanged: dc0-0 never had to refute a suspicion.
  EXPECT_EQ(one.mCore->Members().Self().mIncarnation, before);
}

TEST(Membership, InstanceThatOnlyCouldNotReceiveRefutesItsDeathAtOnce)
{
  fake_network network(kSeed);
  network.AddMany(1, 5);
  network.Run(10s);
  network.Partition([](const auto& /*aFrom*/, const auto& aTo) {
    return aTo.mId.Value() == "dc0-2";
  });
  network.Run(60s);
  EXPECT_EQ(network.SeenBy("dc0-0").count("dc0-2"), 0U);
  network.Partition(nullptr);
  const auto seen = [&] { return network.SeenBy("dc0-0").count("dc0-2") == 1; };
  EXPECT_LE(network.RunUntil(seen, 60s), 1500ms);
}

TEST(Membership, SuspicionIsRefutedByAHigherIncarnation)
{
  cluster::member self;
  self.mId = model::instance_id("a");
  self.mIncarnation = 7;
  cluster::membership membership(self, {}, kSeed);
  auto claim = self;
  claim.mState = cluster::member_state::Suspect;
  membership.Merge(claim, {});
  EXPECT_EQ(membership.Self().mIncarnation, 8U);
  EXPECT_EQ(membership.TakeChanges().back(), membership.Self());
}

TEST(Membership, DataCentreThatIsCutOffIsNotDeclaredDead)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  const auto all = AllIds(network);
  network.Partition([](const auto& aFrom, const auto& aTo) {
    return (aFrom.mDataCentre.Value() == "dc0") !=
           (aTo.mDataCentre.Value() == "dc0");
  });
  network.Run(300s);
  EXPECT_EQ(network.SeenBy("dc1-0"), all);
  const auto lastContact =
    network.mInstances.at("dc1-0").mCore->Members().LastContactWith(
      model::data_centre_id("dc0"));
  EXPECT_GT(network.Now().mNow - *lastContact, 250s);
  network.Kill("dc0-2");
  network.Run(30s);
  EXPECT_EQ(network.SeenBy("dc1-0").count("dc0-2"), 1U);
  network.Partition(nullptr);
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 30s), 10s);
}

TEST(Membership, ReplacementAtTheSameAddressDeclaresThePreviousInstanceDead)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  const auto port = network.mInstances.at("dc2-2").mSelf.mPeer.mPort;
  network.Kill("dc2-2");
  network.Run(1s);
  network.Add("dc2-new", "dc2", port);
  network.PublishInstanceList();
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 30s), 2s);
}

TEST(Membership, RestartWithAClockSetBackIsSeenAgain)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  const auto self = network.mInstances.at("dc2-2").mSelf;
  network.Kill("dc2-2");
  network.Run(15s);
  auto& restarted = network.Add("dc2-2", "dc2", self.mPeer.mPort);
  restarted.mSelf.mIncarnation = self.mIncarnation - 5'000;
  const fake_format format;
  restarted.mCore = std::make_unique<cluster::cluster_core>(
    restarted.mSelf, format, cluster::cluster_options(), kSeed);
  network.PublishInstanceList();
  EXPECT_LT(network.RunUntil([&] { return network.Converged(); }, 30s), 10s);
}

TEST(Membership, OutdatedListDoesNotReviveADeadMember)
{
  fake_network network(kSeed);
  network.AddMany(3, 3);
  network.Run(10s);
  const auto dead = network.mInstances.at("dc0-1").mSelf;
  network.Kill("dc0-1");
  network.Run(15s);
  auto& other = network.mInstances.at("dc0-0");
  network.Execute(
    other,
    other.mCore->OnInstanceList(
      { { dead.mId, dead.mDataCentre, dead.mPeer, false } }, network.Now()));
  EXPECT_EQ(network.SeenBy("dc0-0").count("dc0-1"), 0U);
}

} // namespace

} // namespace monsooncroft::test
