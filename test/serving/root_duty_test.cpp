/**
 * @file root_duty_test.cpp
 * Roots of large fleets: few queries over many instances, losses of data
 * centres and of all large instances, the return after a loss of power.
 */
#include "serving/fleet_membership_base.h"
#include "serving/root_duty_base.h"
#include "serving/routing_config_base.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(1'000) };
constexpr std::uint32_t kLarge = 500; ///< Millicores.
constexpr std::uint32_t kSmall = 120;
const std::set<std::string> kLeafDataCentres{ "dc0", "dc1", "dc2" };

fleet_member
Member(const std::string& aName, int aDataCentre, std::uint32_t aMillicores)
{
  fleet_member member;
  member.mName = aName;
  member.mDataCentre = "dc" + std::to_string(aDataCentre);
  member.mPeerEndpoint = { "10.0.0.1", 7'000 };
  member.mIncarnation = 1;
  member.mHeartbeat = 1;
  member.mCapacityMillicores = aMillicores;
  return member;
}

/** 295 instances in five data centres, three large ones in each. */
std::vector<fleet_member>
LargeFleet()
{
  std::vector<fleet_member> members;
  for (int dataCentre = 0; dataCentre < 5; ++dataCentre) {
    for (int index = 0; index < 59; ++index) {
      members.push_back(
        Member("i" + std::to_string(dataCentre) + "-" + std::to_string(index),
               dataCentre,
               index < 3 ? kLarge : kSmall));
    }
  }
  return members;
}

routing_config_ptr
Config(std::size_t aShards, int aMaxConnections)
{
  routing_config::content content;
  content.mVersion = 1;
  route each;
  each.mName = "all";
  each.mHost = "h";
  each.mPrefix = "/all/";
  each.mTargetLatency = milliseconds(40);
  for (std::size_t index = 0; index < aShards; ++index) {
    each.mShards.push_back("s" + std::to_string(index));
    content.mServices[each.mShards.back()] = { aMaxConnections };
  }
  content.mRoutes = { each };
  return routing_config::Create(content);
}

TEST(SelectRoots, TheLargestInstancesNearTheLeaves)
{
  const auto roots =
    SelectRoots(LargeFleet(), kLeafDataCentres, root_settings{});
  const std::vector<std::string> expected{ "i0-0", "i0-1", "i0-2",
                                           "i1-0", "i1-1", "i1-2",
                                           "i2-0", "i2-1", "i2-2" };
  EXPECT_EQ(roots, expected);
}

/** With all large instances lost, small ones take over, with at least as much
 * capacity together. */
TEST(SelectRoots, SmallInstancesReplaceAllLargeOnes)
{
  auto members = LargeFleet();
  std::erase_if(members, [](const fleet_member& aMember) {
    return aMember.mCapacityMillicores == kLarge;
  });
  const auto roots = SelectRoots(members, kLeafDataCentres, root_settings{});
  double capacity = 0;
  for (const fleet_member& member : members) {
    capacity += member.mCapacityMillicores;
  }
  EXPECT_GE(static_cast<double>(roots.size()) * kSmall, 0.1 * capacity);
  EXPECT_LE(roots.size(), 32U);
}

/** A data centre with leaves is cut off: each side has roots of its own. */
TEST(SelectRoots, EachSideOfACutHasRoots)
{
  auto inside = LargeFleet();
  std::erase_if(inside, [](const fleet_member& aMember) {
    return aMember.mDataCentre != "dc1";
  });
  auto outside = LargeFleet();
  std::erase_if(outside, [](const fleet_member& aMember) {
    return aMember.mDataCentre == "dc1";
  });
  EXPECT_GE(SelectRoots(inside, kLeafDataCentres, {}).size(), 3U);
  EXPECT_GE(SelectRoots(outside, kLeafDataCentres, {}).size(), 3U);
  // No instance near the leaves: some others execute the queries.
  EXPECT_GE(SelectRoots(inside, { "dc4" }, {}).size(), 3U);
}

TEST(SelectRoots, InstancesOfUnknownCapacityOrLeavingOnesAreNotChosen)
{
  std::vector<fleet_member> members{ Member("old", 0, 0),
                                     Member("leaving", 0, kLarge),
                                     Member("small", 0, kSmall) };
  members[1].mLeaving = true;
  EXPECT_EQ(SelectRoots(members, { "dc0" }, {}),
            (std::vector<std::string>{ "small" }));
}

/** Few queries over many instances: each root gets its part of them, although
 * each instance uses one root only. */
TEST(OrderRoots, RootsGetQueriesInProportionToTheirCapacity)
{
  std::vector<root_address> roots{ { "a", {}, 0.5, true },
                                   { "b", {}, 0.5, true },
                                   { "c", {}, 1, true },
                                   { "far", {}, 8, false } };
  std::map<std::string, int> first;
  for (int index = 0; index < 4'000; ++index) {
    OrderRoots(roots, "instance" + std::to_string(index));
    ++first[roots.front().mName];
    EXPECT_EQ(roots.back().mName, "far");
  }
  EXPECT_NEAR(first["a"], 1'000, 150);
  EXPECT_NEAR(first["b"], 1'000, 150);
  EXPECT_NEAR(first["c"], 2'000, 150);
}

TEST(NeedsRoots, DependsOnSizeConnectionsAndProcessors)
{
  const milliseconds target(40);
  EXPECT_FALSE(NeedsRoots({ 9, 0.25, 30, 26, target }));
  EXPECT_TRUE(NeedsRoots({ 84, 0.25, 90, 64, target }));
  EXPECT_TRUE(NeedsRoots({ 22, 0.12, 180, 175, target }));
  EXPECT_TRUE(NeedsRoots({ 295, 0.14, 180, 175, target }));
  EXPECT_TRUE(NeedsRoots({ 4'600, 4, 260, 25, target }));
  // Processors of unknown speed decide nothing.
  EXPECT_FALSE(NeedsRoots({ 9, 0, 180, 175, target }));
}

/** One instance of a fleet whose other members the test sets. */
class root_duty_test : public testing::Test
{
protected:
  explicit root_duty_test(const fleet_member& aSelf = Member("i0-0", 0, kLarge))
    : mFleet(aSelf, {}, fleet_membership_settings{}, 1)
    , mDuty(root_settings{}, kStart)
    , mConfig(Config(180, 175))
  {
    mInputs.mConfig = mConfig.get();
    mInputs.mLeafDataCentres = kLeafDataCentres;
    mInputs.mRelayPort = 7'001;
    mInputs.mReachableShards = 1;
  }
  void Hear(std::vector<fleet_member> aMembers, model::instant aNow)
  {
    fleet_message message;
    message.mMembers = std::move(aMembers);
    for (fleet_member& member : message.mMembers) {
      member.mHeartbeat = static_cast<std::uint64_t>(++mHeartbeat);
      member.mStateHeartbeat = member.mHeartbeat;
    }
    mFleet.OnMessage(message, aNow);
  }

  fleet_membership mFleet;
  root_duty mDuty;
  routing_config_ptr mConfig;
  root_duty::inputs mInputs;
  long mHeartbeat = 1;
};

TEST_F(root_duty_test, ARootAcceptsQueriesOnceItsConnectionsAreOpen)
{
  const model::instant now = kStart + seconds(5);
  Hear(LargeFleet(), now);
  mInputs.mReachableShards = 0.5;
  root_role role = mDuty.Update(mFleet, mInputs, now);
  EXPECT_TRUE(role.mUsesRoots);
  EXPECT_FALSE(role.mAccepts);
  ASSERT_TRUE(role.mShardInstances);
  EXPECT_EQ(role.mShardInstances->mTotal, 9U);
  mInputs.mReachableShards = 0.99;
  EXPECT_TRUE(mDuty.Update(mFleet, mInputs, now).mAccepts);
  // Some leaves are down: no reason to end.
  mInputs.mReachableShards = 0.8;
  EXPECT_TRUE(mDuty.Update(mFleet, mInputs, now).mAccepts);
  mInputs.mIsStopping = true;
  EXPECT_FALSE(mDuty.Update(mFleet, mInputs, now).mAccepts);
}

/** After the loss of all power, each instance knew none of the others at first,
 * took itself for a root and opened connections to all leaves. */
TEST_F(root_duty_test, AStartingInstanceOpensNoConnectionsBeforeItKnowsTheFleet)
{
  EXPECT_FALSE(mDuty.Update(mFleet, mInputs, kStart).mShardInstances);
  std::vector<fleet_member> some = LargeFleet();
  std::erase_if(some, [](const fleet_member& aMember) {
    return aMember.mCapacityMillicores == kLarge;
  });
  Hear(some, kStart + milliseconds(500));
  const root_role role =
    mDuty.Update(mFleet, mInputs, kStart + milliseconds(500));
  EXPECT_TRUE(role.mUsesRoots);
  EXPECT_FALSE(role.mShardInstances);
}

/** A fleet of few shards opens its connections at once. */
TEST_F(root_duty_test, ASmallFleetExecutesItsQueriesItself)
{
  mConfig = Config(30, 26);
  mInputs.mConfig = mConfig.get();
  const root_role role = mDuty.Update(mFleet, mInputs, kStart);
  EXPECT_FALSE(role.mUsesRoots);
  EXPECT_FALSE(role.mAccepts);
  ASSERT_TRUE(role.mShardInstances);
}

/** Members that are lost and come back must not make connections close and open
 * again. */
TEST_F(root_duty_test, ARootThatIsNoLongerChosenStepsDownLater)
{
  const fleet_member larger = Member("z", 0, 4'000);
  std::vector<fleet_member> fleet = LargeFleet();
  model::instant now = kStart + seconds(5);
  Hear(fleet, now);
  EXPECT_TRUE(mDuty.Update(mFleet, mInputs, now).mAccepts);
  fleet.push_back(larger);
  now += seconds(1);
  Hear(fleet, now);
  EXPECT_TRUE(mDuty.Update(mFleet, mInputs, now).mAccepts);
  now += seconds(4);
  Hear(fleet, now);
  const root_role role = mDuty.Update(mFleet, mInputs, now);
  EXPECT_FALSE(role.mAccepts);
  EXPECT_FALSE(role.mShardInstances);
}

TEST_F(root_duty_test, AnInstanceUsesTheRootsThatAccept)
{
  std::vector<fleet_member> fleet = LargeFleet();
  fleet[1].mRelayPort = 7'001;
  fleet[2].mRelayPort = 7'001;
  fleet[2].mLeaving = true;
  const model::instant now = kStart + seconds(5);
  Hear(fleet, now);
  const root_role role = mDuty.Update(mFleet, mInputs, now);
  ASSERT_EQ(role.mRoots.size(), 1U);
  EXPECT_EQ(role.mRoots.front().mName, "i0-1");
  EXPECT_EQ(role.mRoots.front().mEndpoint.mPort, 7'001);
}

} // namespace
} // namespace monsooncroft::serving
