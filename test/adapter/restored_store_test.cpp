/**
 * @file restored_store_test.cpp
 * Control planes of a fleet over loopback, with a store that comes back from an
 * older copy.
 */
#include "store_fleet.h"

namespace monsooncroft::adapter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A confirmed configuration must be in force after this time. */
constexpr seconds kConfigBound{ 3 };
/** Time after a restore in which leaves may be missing in the store. */
constexpr milliseconds kReregistrationPeriod{ 2'300 };

/** A fleet whose store is restored; the parameter is whether its watches end
 * then. */
class restored_store
  : public store_fleet
  , public testing::WithParamInterface<bool>
{};

/** A configuration that was confirmed after the restore was never in force: it
 * had a revision that the watch had passed before. */
TEST_P(restored_store, ConfigurationsWrittenAfterARestoreComeIntoForce)
{
  const auto old = mStore.Save();
  PutConfig(2);
  for (int leaf = 0; leaf < kLeaves; ++leaf) {
    PutLeaf(leaf);
  }
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(2); }, seconds(10)));
  Run(seconds(1));
  for (int version = 3; version < 6; version += 2) {
    const std::uint64_t knownRevision = mStore.Revision();
    mStore.Restore(old, GetParam());
    PutConfig(version);
    // Now the revisions pass those that the instances know.
    while (mStore.Revision() <= knownRevision + 1) {
      PutLeaf(0);
    }
    EXPECT_TRUE(RunUntil([&] { return AllHaveVersion(version); }, kConfigBound))
      << version;
    PutConfig(version + 1);
    EXPECT_TRUE(
      RunUntil([&] { return AllHaveVersion(version + 1); }, kConfigBound))
      << version + 1;
  }
}

/** The copy has the configuration before the confirmed one; no instance may go
 * back to it. */
TEST_P(restored_store, ConfirmedConfigurationsStayInForce)
{
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(1); }, seconds(10)));
  const auto old = mStore.Save();
  PutConfig(2);
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(2); }, seconds(10)));
  mStore.Restore(old, GetParam());
  Run(seconds(2));
  PutConfig(2);
  Run(seconds(1));
  for (const auto& versions : mVersions) {
    EXPECT_TRUE(std::is_sorted(versions.begin(), versions.end()));
    EXPECT_EQ(versions.back(), 2);
  }
}

/** Leaves that registered, drained and left after the copy was made: the first
 * are missing in it, the others look ready. */
TEST_P(restored_store, LeavesAreKnownAsTheyAre)
{
  ASSERT_TRUE(
    RunUntil([&] { return AllKnow(ReadyLeaves(0, kLeaves)); }, seconds(10)));
  const auto old = mStore.Save();
  PutLeaf(0, "draining");
  mStore.Remove("servers/i-1");
  PutLeaf(kLeaves);
  PutLeaf(kLeaves + 1);
  auto leaves = ReadyLeaves(2, kLeaves + 2);
  leaves["i-0"] = true;
  ASSERT_TRUE(RunUntil([&] { return AllKnow(leaves); }, seconds(10)));
  mStore.Restore(old, GetParam());
  Run(seconds(1));
  EXPECT_TRUE(AllKnow(leaves));
  // One of the new leaves registers again, the other one has crashed.
  PutLeaf(kLeaves);
  PutLeaf(0, "draining");
  mStore.Remove("servers/i-1");
  PutLeaf(kLeaves + 2);
  leaves["i-" + std::to_string(kLeaves + 2)] = false;
  EXPECT_TRUE(RunUntil([&] { return AllKnow(leaves); }, seconds(1)));
  leaves.erase("i-" + std::to_string(kLeaves + 1));
  EXPECT_TRUE(RunUntil([&] { return AllKnow(leaves); }, kReregistrationPeriod));
}

/** Every instance read all registrations without a pause, until the store's
 * revisions had passed those from before the restore. */
TEST_P(restored_store, CallsToTheStoreAreAtMostDoubled)
{
  constexpr seconds kPeriod{ 10 };
  ASSERT_TRUE(
    RunUntil([&] { return AllKnow(ReadyLeaves(0, kLeaves)); }, seconds(10)));
  const auto old = mStore.Save();
  for (int leaf = 0; leaf < kLeaves; ++leaf) {
    PutLeaf(leaf, leaf == 0 ? "draining" : "ready");
  }
  Run(seconds(2));
  const int callsAtStart = mStore.Calls();
  Run(kPeriod);
  const int callsBefore = mStore.Calls() - callsAtStart;
  mStore.Restore(old, GetParam());
  Run(kPeriod);
  EXPECT_LE(mStore.Calls() - callsAtStart - callsBefore, 2 * callsBefore);
}

class silent_watches : public store_fleet
{};

/** The instances that watch the configuration were cut off, and nobody noticed:
 * a version was not in force until their watches ended, 17 s later. */
TEST_F(silent_watches, ConfigurationsAreFoundWhileAllWatchesAreSilent)
{
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(1); }, seconds(10)));
  Run(seconds(1));
  mStore.SilenceWatches();
  PutConfig(2);
  EXPECT_TRUE(RunUntil([&] { return AllHaveVersion(2); }, kConfigBound));
}

INSTANTIATE_TEST_SUITE_P(Watches,
                         restored_store,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "End" : "AreNeverAnswered";
                         });

} // namespace
} // namespace monsooncroft::adapter
