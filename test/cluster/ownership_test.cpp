/**
 * @file ownership_test.cpp
 * Rendezvous ranking, leaf groups and their owners.
 */
#include "cluster/ownership_base.h"
#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace monsooncroft::test {

namespace {

const model::data_centre_id kDataCentre("dc0");

cluster::member_list
Members(int aCount)
{
  cluster::member_list members;
  for (int number = 0; number < aCount; ++number) {
    cluster::member made;
    made.mId = model::instance_id("i" + std::to_string(number));
    made.mDataCentre = kDataCentre;
    members.push_back(made);
  }
  return members;
}

cluster::member_view_ptr
ViewOf(const cluster::member_list& aMembers, std::uint64_t aEpoch)
{
  return std::make_shared<const cluster::member_view>(
    aEpoch,
    cluster::member_view::lists{
      { kDataCentre,
        std::make_shared<const cluster::member_list>(aMembers) } });
}

/** Returns a service of aShards shards with two replicas each. */
model::service
ServiceOf(int aShards)
{
  model::service made;
  made.mId = model::service_id("routes");
  for (int number = 0; number < aShards; ++number) {
    model::shard shard;
    shard.mId = model::shard_id("s" + std::to_string(number));
    for (const std::string replica : { "a", "b" }) {
      model::leaf leaf;
      leaf.mId = model::leaf_id(replica + std::to_string(number));
      leaf.mDataCentre = kDataCentre;
      shard.mReplicas.push_back(leaf.mId);
      made.mLeaves.push_back(leaf);
    }
    made.mShards.push_back(shard);
  }
  return made;
}

RC_GTEST_PROP(Ownership, LosingAMemberMovesOnlyItsKeys, ())
{
  const auto count = *rc::gen::inRange(2, 30);
  const auto lostIndex = *rc::gen::inRange(0, count);
  const auto removal = *rc::gen::inRange(0, 3);
  const auto key = *rc::gen::arbitrary<std::string>();
  const auto before = Members(count);
  auto after = before;
  const auto lostMember = after.begin() + lostIndex;
  const auto lostId = lostMember->mId;
  if (removal == 0) {
    after.erase(lostMember);
  } else {
    lostMember->mState = removal == 1 ? cluster::member_state::Leaving
                                      : cluster::member_state::Dead;
  }
  auto expected =
    cluster::RankByRendezvous(key, before, static_cast<std::size_t>(count));
  std::erase(expected, lostId);
  RC_ASSERT(cluster::RankByRendezvous(
              key, after, static_cast<std::size_t>(count)) == expected);
}

TEST(Ownership, GroupsHoldAtMostSixteenLeavesWithReplicasTogether)
{
  const auto groups = cluster::GroupLeaves(ServiceOf(20));
  ASSERT_EQ(groups.size(), 3U);
  EXPECT_EQ(groups[0].mLeaves.size(), 16U);
  EXPECT_EQ(groups[0].mLeaves[0], model::leaf_id("a0"));
  EXPECT_EQ(groups[0].mLeaves[1], model::leaf_id("b0"));
  EXPECT_EQ(groups[2].mLeaves.size(), 8U);
}

TEST(Ownership, GroupsAreSpreadEvenly)
{
  const auto members = Members(10);
  std::map<model::instance_id, int> owned;
  for (int number = 0; number < 10'000; ++number) {
    const auto key = "group/" + std::to_string(number);
    ++owned[cluster::RankByRendezvous(key, members, 1).front()];
  }
  for (const auto& [id, count] : owned) {
    EXPECT_NEAR(count, 1'000, 150) << id;
  }
}

TEST(Ownership, OwnersAreKeptUntilTheirDataCentreChanges)
{
  const auto manifest = std::make_shared<const model::manifest>(
    1, std::vector<model::workspace>{}, std::vector{ ServiceOf(40) });
  const auto view = ViewOf(Members(5), 1);
  const auto first = cluster::ownership::Build(manifest, view, 2, nullptr);
  const auto& groups = first->GroupsOf(model::service_id("routes"));
  ASSERT_EQ(groups.size(), 5U);
  for (const auto& group : groups) {
    EXPECT_EQ(group.mOwners.size(), 2U);
    EXPECT_TRUE(first->Owns(group.mOwners[1], group));
  }
  const auto again = cluster::ownership::Build(
    manifest,
    std::make_shared<const cluster::member_view>(2, view->Lists()),
    2,
    first);
  EXPECT_EQ(again->GroupsOf(model::service_id("routes")), groups);
  const auto fewer =
    cluster::ownership::Build(manifest, ViewOf(Members(1), 3), 2, first);
  EXPECT_EQ(fewer->GroupOf(model::leaf_id("b39"))->mOwners,
            std::vector{ model::instance_id("i0") });
}

TEST(Ownership, WithoutOwnersEveryInstanceOwnsTheGroup)
{
  const auto manifest = std::make_shared<const model::manifest>(
    1, std::vector<model::workspace>{}, std::vector{ ServiceOf(4) });
  const auto table =
    cluster::ownership::Build(manifest, ViewOf(Members(5), 1), 0, nullptr);
  const auto& group = table->GroupsOf(model::service_id("routes")).front();
  EXPECT_TRUE(group.mOwners.empty());
  EXPECT_TRUE(table->Owns(model::instance_id("i3"), group));
}

} // namespace

} // namespace monsooncroft::test
