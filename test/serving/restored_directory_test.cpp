/**
 * @file restored_directory_test.cpp
 * Leaf registrations of a store that comes back from an older copy.
 */
#include "serving/leaf_directory_base.h"

#include <gtest/gtest.h>

#include <map>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(108) };
const model::instant kRestored{ seconds(110) };
/** Times after the restore, when live leaves have registered again and when
 * dead ones have been removed from the store. */
const model::instant kReregistered{ kRestored + milliseconds(2'400) };
const model::instant kExpired{ kRestored + milliseconds(5'100) };

model::store_revision
First(std::uint64_t aNumber)
{
  return { aNumber, 1 };
}
model::store_revision
Second(std::uint64_t aNumber)
{
  return { aNumber, 2 };
}

leaf_registration
Leaf(const std::string& aId,
     model::store_revision aRevision,
     bool aDraining = false)
{
  leaf_registration leaf;
  leaf.mId = aId;
  leaf.mService = "s";
  leaf.mAddress = { "10.0.0.1", 80 };
  leaf.mIncarnation = 7;
  leaf.mDraining = aDraining;
  leaf.mRevision = aRevision;
  return leaf;
}

/** Knows revision 20 of the first era: a drains, b has left, c is new since
 * revision 10, of which the copy is. */
leaf_directory
DirectoryBeforeRestore()
{
  leaf_directory directory;
  directory.OnSnapshot(
    { First(10), { Leaf("a", First(1)), Leaf("b", First(2)) } }, kStart);
  directory.OnWatch({ First(10),
                      First(20),
                      { Leaf("a", First(18), true), Leaf("c", First(19)) },
                      { "b" } },
                    kRestored - seconds(1));
  return directory;
}
const directory_snapshot kCopy{ Second(10),
                                { Leaf("a", Second(1)),
                                  Leaf("b", Second(2)) } };

std::map<std::string, bool>
Drains(const leaf_directory& aDirectory)
{
  std::map<std::string, bool> drains;
  for (const auto& leaf : aDirectory.ChangesSince(0).mChangedLeaves) {
    drains[leaf.mId] = leaf.mDraining;
  }
  return drains;
}

TEST(RestoredDirectory, LowerRevisionsOfALaterEraAreNewer)
{
  leaf_directory directory = DirectoryBeforeRestore();
  ASSERT_TRUE(directory.OnSnapshot(kCopy, kRestored));
  EXPECT_EQ(directory.Revision(), Second(10));
  EXPECT_EQ(directory.LastCompleteTime(), kRestored);
  // A late answer of the first era.
  EXPECT_FALSE(directory.OnSnapshot({ First(21), {} }, kRestored));
}

/** The copy lists a draining leaf as ready; requests would reach it after its
 * drain. */
TEST(RestoredDirectory, ADrainOutlivesTheRestore)
{
  leaf_directory directory = DirectoryBeforeRestore();
  directory.OnSnapshot(kCopy, kRestored);
  EXPECT_TRUE(Drains(directory).at("a"));
  // Another incarnation under the same id is another process.
  leaf_registration restarted = Leaf("a", Second(12));
  restarted.mIncarnation = 8;
  directory.OnWatch({ Second(10), Second(12), { restarted }, {} }, kRestored);
  EXPECT_FALSE(Drains(directory).at("a"));
}

/** The copy may list the process before the one that is known. */
TEST(RestoredDirectory, AnEarlierIncarnationDoesNotReplaceALaterOne)
{
  leaf_directory directory;
  leaf_registration restarted = Leaf("a", First(18));
  restarted.mIncarnation = 8;
  restarted.mAddress = { "10.0.0.2", 80 };
  directory.OnSnapshot({ First(20), { restarted } }, kStart);
  directory.TakeChanges();
  directory.OnSnapshot(kCopy, kRestored);
  directory.TakeChanges();
  leaf_registration again = restarted;
  again.mRevision = Second(11);
  directory.OnWatch({ Second(10), Second(11), { again }, {} }, kRestored);
  EXPECT_TRUE(directory.TakeChanges().mChangedLeaves.empty());
}

/** The copy lists a leaf that has left, until its registration expires. */
TEST(RestoredDirectory, ALeafThatHasLeftDoesNotReturn)
{
  leaf_directory directory = DirectoryBeforeRestore();
  directory.TakeChanges();
  directory.OnSnapshot(kCopy, kRestored);
  directory.OnWatch({ Second(10), Second(10), {}, {} }, kReregistered);
  for (const auto& leaf : directory.TakeChanges().mChangedLeaves) {
    EXPECT_NE(leaf.mId, "b");
  }
  directory.OnWatch({ Second(10), Second(11), {}, { "b" } },
                    kReregistered + seconds(1));
  directory.OnWatch({ Second(11), Second(11), {}, {} }, kExpired);
  EXPECT_EQ(Drains(directory).count("b"), 0U);
}

/** A leaf that was removed for its silence may live. */
TEST(RestoredDirectory, ALeafThatRegistersAgainReturnsAtOnce)
{
  leaf_directory directory = DirectoryBeforeRestore();
  directory.OnSnapshot(kCopy, kRestored);
  directory.TakeChanges();
  directory.OnWatch({ Second(10), Second(11), { Leaf("b", Second(11)) }, {} },
                    kRestored);
  const auto changes = directory.TakeChanges();
  ASSERT_EQ(changes.mChangedLeaves.size(), 1U);
  EXPECT_EQ(changes.mChangedLeaves.front().mId, "b");
}

TEST(RestoredDirectory, ALeafThatStaysListedReturns)
{
  leaf_directory directory = DirectoryBeforeRestore();
  directory.OnSnapshot(kCopy, kRestored);
  directory.TakeChanges();
  directory.OnSnapshot(kCopy, kExpired);
  const auto changes = directory.TakeChanges();
  ASSERT_EQ(changes.mChangedLeaves.size(), 1U);
  EXPECT_EQ(changes.mChangedLeaves.front().mId, "b");
}

/** Leaves that registered after the copy was made are kept while they register
 * again, also after an outage that was too short to be noticed as one. */
TEST(RestoredDirectory, LeavesThatTheCopyLacksAreKeptForAWhile)
{
  leaf_directory directory = DirectoryBeforeRestore();
  directory.OnSnapshot(kCopy, kRestored);
  directory.TakeChanges();
  EXPECT_EQ(directory.MissingCount(), 1U);
  directory.OnSnapshot(kCopy, kRestored + seconds(1));
  directory.RemoveMissing(kReregistered - milliseconds(200));
  EXPECT_TRUE(directory.TakeChanges().mRemovedIds.empty());
  directory.RemoveMissing(kReregistered);
  EXPECT_EQ(directory.TakeChanges().mRemovedIds,
            std::vector<std::string>{ "c" });
}

/** An instance that hears only peers enters the era by what a peer knows. What
 * it alone knows of the first era must not stay for good. */
TEST(RestoredDirectory, APeerOfTheFirstEraGetsAllRegistrations)
{
  leaf_directory reader = DirectoryBeforeRestore();
  leaf_directory peer = DirectoryBeforeRestore();
  peer.OnWatch({ First(20), First(21), { Leaf("d", First(21)) }, { "a" } },
               kRestored - seconds(1));
  const auto pushed = reader.OnSnapshot(kCopy, kRestored);
  ASSERT_TRUE(pushed);
  EXPECT_FALSE(peer.OnDelta(*pushed, kRestored)); // It has to pull.
  EXPECT_EQ(peer.Revision(), First(21));
  EXPECT_TRUE(
    peer.OnPulledChanges(reader.ChangesSince(peer.Revision()), kRestored));
  EXPECT_EQ(peer.Revision(), Second(10));
  peer.RemoveMissing(kReregistered);
  reader.RemoveMissing(kReregistered);
  reader.OnSnapshot(kCopy, kExpired);
  EXPECT_TRUE(
    peer.OnPulledChanges(reader.ChangesSince(peer.Revision()), kExpired));
  const std::map<std::string, bool> expected{ { "a", true }, { "b", false } };
  EXPECT_EQ(Drains(peer), expected);
  EXPECT_EQ(Drains(reader), expected);
}

/** Peers of the new era know themselves what is missing; a reader that keeps
 * missing leaves sends them complete changes. Otherwise each of them would read
 * the store. */
TEST(RestoredDirectory, PeersStayCompleteWhileLeavesAreMissing)
{
  leaf_directory reader = DirectoryBeforeRestore();
  leaf_directory peer = DirectoryBeforeRestore();
  reader.OnSnapshot(kCopy, kRestored);
  peer.OnPulledChanges(reader.ChangesSince(peer.Revision()), kRestored);
  const auto delta =
    reader.OnWatch({ Second(10), Second(11), { Leaf("d", Second(11)) }, {} },
                   kRestored + seconds(1));
  EXPECT_TRUE(peer.OnDelta(delta, kRestored + seconds(1)));
  EXPECT_EQ(peer.Revision(), Second(11));
  // A starting instance learns of the leaves that are listed only.
  leaf_directory starting;
  EXPECT_TRUE(starting.OnPulledChanges(reader.ChangesSince(0), kRestored));
  EXPECT_EQ(Drains(starting).count("c"), 0U);
  EXPECT_EQ(Drains(starting).count("d"), 1U);
}

/** Two restores within the re-registration period. */
TEST(RestoredDirectory, ASecondRestoreStartsThePeriodsAgain)
{
  leaf_directory directory = DirectoryBeforeRestore();
  directory.OnSnapshot(kCopy, kRestored);
  const directory_snapshot second{
    { 10, 3 }, { Leaf("a", { 1, 3 }), Leaf("b", { 2, 3 }) }
  };
  directory.OnSnapshot(second, kRestored + seconds(2));
  directory.TakeChanges();
  directory.RemoveMissing(kReregistered);
  directory.OnSnapshot(second, kRestored + seconds(4));
  const auto changes = directory.TakeChanges();
  EXPECT_TRUE(changes.mRemovedIds.empty());
  EXPECT_TRUE(changes.mChangedLeaves.empty());
  directory.RemoveMissing(kReregistered + seconds(2));
  directory.OnSnapshot(second, kExpired);
  EXPECT_TRUE(directory.TakeChanges().mChangedLeaves.empty());
  directory.OnSnapshot(second, kExpired + seconds(2));
  EXPECT_EQ(Drains(directory),
            (std::map<std::string, bool>{ { "a", true }, { "b", false } }));
}

} // namespace
} // namespace monsooncroft::serving
