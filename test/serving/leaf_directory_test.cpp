/**
 * @file leaf_directory_test.cpp
 * Leaf registrations before, during and after outages of the store.
 */
#include "serving/leaf_directory_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

leaf_registration
Leaf(const std::string& aId, std::uint64_t aRevision)
{
  leaf_registration leaf;
  leaf.mId = aId;
  leaf.mService = "s";
  leaf.mAddress = { "10.0.0.1", 80 };
  leaf.mRevision = aRevision;
  return leaf;
}

const model::instant kStart{ seconds(100) };

TEST(LeafDirectory, RemovesAMissingLeafAtOnceWithoutAnOutage)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  const auto delta =
    directory.OnSnapshot({ 11, { Leaf("a", 1) } }, kStart + seconds(1));
  ASSERT_TRUE(delta);
  EXPECT_EQ(delta->mRemovedIds, std::vector<std::string>{ "b" });
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, IgnoresAnOlderSnapshot)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 10) } }, kStart);
  EXPECT_FALSE(
    directory.OnSnapshot({ 9, { Leaf("a", 1) } }, kStart + seconds(1)));
  EXPECT_EQ(directory.Size(), 2U);
}

/** After an outage the store may restore a registration with its old revision;
 * the leaf must not be removed at the end of the re-registration period. */
TEST(LeafDirectory, KeepsALeafThatReturnsUnchangedAfterAnOutage)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnStoreFailure(kStart + seconds(1));
  const auto recovered = kStart + seconds(5);
  directory.OnSnapshot({ 12, {} }, recovered);
  directory.OnSnapshot({ 13, { Leaf("a", 1) } }, recovered + seconds(1));
  directory.RemoveMissing(recovered + milliseconds(2'400));
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, KeepsMissingLeavesForTheReregistrationPeriod)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  directory.OnStoreFailure(kStart + seconds(1));
  const auto recovered = kStart + seconds(5);
  directory.OnSnapshot({ 12, {} }, recovered);
  EXPECT_EQ(directory.Size(), 2U);
  directory.OnWatch({ 12, 13, { Leaf("a", 13) }, {} }, recovered + seconds(1));
  directory.TakeChanges();
  directory.RemoveMissing(recovered + milliseconds(2'000));
  EXPECT_TRUE(directory.TakeChanges().mRemovedIds.empty());
  directory.RemoveMissing(recovered + milliseconds(2'400));
  EXPECT_EQ(directory.TakeChanges().mRemovedIds,
            std::vector<std::string>{ "b" });
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, DeltaFromAPeerStartsTheReregistrationPeriod)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnStoreFailure(kStart + seconds(1));
  const auto recovered = kStart + seconds(5);
  // Another instance reads the store first after the outage.
  directory.OnDelta({ 10, 12, {}, {} }, recovered);
  directory.OnSnapshot({ 12, {} }, recovered + milliseconds(20));
  EXPECT_EQ(directory.Size(), 1U);
}

/** Guards against requests to a leaf that has left (DRAIN): the instances that
 * read the store were lost, or this one stood still, which was taken for an
 * outage of the store, after which missing leaves are kept. */
TEST(LeafDirectory, ATimeWithoutReadsIsNoOutageOfTheStore)
{
  leaf_directory directory;
  leaf_directory peer;
  for (leaf_directory* each : { &directory, &peer }) {
    each->OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  }
  // It failed before the store answered another instance.
  directory.OnStoreFailure(kStart - milliseconds(100));
  const auto later = kStart + seconds(5);
  const auto delta = directory.OnSnapshot({ 11, { Leaf("a", 1) } }, later);
  ASSERT_TRUE(delta);
  EXPECT_EQ(directory.Size(), 1U);
  EXPECT_EQ(directory.MissingCount(), 0U);
  EXPECT_TRUE(peer.OnDelta(*delta, later));
  EXPECT_EQ(peer.Size(), 1U);
  const auto gap = directory.TakeReadGap();
  ASSERT_TRUE(gap);
  EXPECT_EQ(gap->mLength, seconds(5));
  EXPECT_FALSE(gap->mIsOutage);
}

/** Guards against requests to a leaf that has left (DRAIN): one instance that
 * alone could not reach the store took that for an outage, and told its
 * peers. */
TEST(LeafDirectory, AnOutageThatOnlyAPeerHasSeenIsNone)
{
  leaf_directory cut;
  leaf_directory directory;
  leaf_directory suspended;
  for (leaf_directory* each : { &cut, &directory, &suspended }) {
    each->OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  }
  cut.OnStoreFailure(kStart + seconds(1));
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } },
                       kStart + milliseconds(1'800));
  const auto later = kStart + milliseconds(3'500);
  const auto delta = cut.OnSnapshot({ 11, { Leaf("a", 1) } }, later);
  ASSERT_TRUE(delta);
  EXPECT_EQ(cut.MissingCount(), 1U);
  directory.OnDelta(*delta, later);
  directory.RemoveMissing(later);
  EXPECT_EQ(directory.Size(), 1U);
  // One that knows nothing of that time keeps the leaves as long as the peer.
  suspended.OnDelta(*delta, later + milliseconds(500));
  suspended.RemoveMissing(later + milliseconds(2'700));
  EXPECT_EQ(suspended.Size(), 2U);
  suspended.RemoveMissing(later + milliseconds(2'900));
  EXPECT_EQ(suspended.Size(), 1U);
}

/** Guards against callers that are refused after an outage: an instance that
 * had not called the store meanwhile took leaves for gone whose registrations
 * had lapsed, and told its peers. */
TEST(LeafDirectory, LeavesThatAPeerTakesForGoneAreKeptAfterAnOutage)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  directory.OnStoreFailure(kStart + seconds(1));
  const auto recovered = kStart + seconds(5);
  directory.OnDelta({ 10, 12, {}, { "a", "b" } }, recovered);
  EXPECT_EQ(directory.Size(), 2U);
  directory.OnDelta({ 12, 13, { Leaf("a", 13) }, {} }, recovered + seconds(1));
  directory.RemoveMissing(recovered + milliseconds(2'000));
  EXPECT_EQ(directory.Size(), 2U);
  directory.RemoveMissing(recovered + milliseconds(2'400));
  EXPECT_EQ(directory.Size(), 1U);
}

/** An instance that missed its peers' changes for some seconds reads the store
 * itself. It must not take that gap for an outage of the store: it would go on
 * sending requests to leaves that have left. */
TEST(LeafDirectory, AGapInThePeersChangesIsNoOutageOfTheStore)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  // The change from revision 10 to 20 is lost; the later ones show that the
  // store is being read.
  EXPECT_FALSE(
    directory.OnDelta({ 20, 21, {}, {} }, kStart + milliseconds(900)));
  EXPECT_FALSE(
    directory.OnDelta({ 21, 22, {}, {} }, kStart + milliseconds(1'800)));
  directory.OnSnapshot({ 23, { Leaf("a", 1) } }, kStart + milliseconds(2'300));
  EXPECT_EQ(directory.Size(), 1U);
}

/** Peers' changes from before an outage, received late, do not shorten it. */
TEST(LeafDirectory, AnOldDeltaIsNoSignOfTheStore)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnStoreFailure(kStart + seconds(1));
  directory.OnDelta({ 8, 9, {}, {} }, kStart + milliseconds(1'500));
  directory.OnSnapshot({ 12, {} }, kStart + milliseconds(3'000));
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, PeersReceiveTheNewRevisionOfAnUnchangedLeaf)
{
  leaf_directory reader;
  reader.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  const auto delta =
    reader.OnWatch({ 10, 13, { Leaf("a", 13) }, {} }, kStart + seconds(1));
  ASSERT_EQ(delta.mChangedLeaves.size(), 1U);

  leaf_directory peer;
  peer.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  EXPECT_TRUE(peer.OnDelta(delta, kStart + seconds(1)));
  // A removal at a lower revision than the registration is ignored.
  peer.OnDelta({ 12, 12, {}, { "a" } }, kStart + seconds(2));
  EXPECT_EQ(peer.Size(), 1U);
}

/** A restarted instance reads the store while it pulls from a peer that has not
 * heard of a removal yet. The peer's answer must not bring the leaf back:
 * nobody would tell of the removal again. */
TEST(LeafDirectory, AnOlderStateOfAPeerDoesNotBringBackALeaf)
{
  leaf_directory peer;
  peer.OnSnapshot({ 15, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  leaf_directory directory;
  directory.OnSnapshot({ 20, { Leaf("a", 1) } }, kStart);
  directory.OnPulledChanges(peer.ChangesSince(0), kStart);
  EXPECT_EQ(directory.Size(), 1U);
  directory.OnDelta({ 10, 15, { Leaf("b", 2) }, {} }, kStart);
  EXPECT_EQ(directory.Size(), 1U);
  EXPECT_EQ(directory.Revision(), 20U);
}

/** Guards against requests to a leaf that has left: a watch was answered before
 * the leaf left, and its answer arrived behind that of a read, which does not
 * list the leaf. */
TEST(LeafDirectory, ALateWatchDoesNotBringBackALeafThatWasNotKnown)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnSnapshot({ 20, { Leaf("a", 1) } }, kStart);
  directory.OnWatch({ 10, 12, { Leaf("b", 12) }, {} }, kStart);
  EXPECT_EQ(directory.Size(), 1U);
  EXPECT_EQ(directory.Revision(), 20U);
}

/** Guards against requests to a leaf that has left: the memory of removed
 * leaves is bounded, and a leaf that was dropped from it returned with an old
 * answer. */
TEST(LeafDirectory, ALeafWhoseRemovalIsForgottenDoesNotReturn)
{
  constexpr int kRemovals = 5'000;
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  directory.OnWatch({ 10, 11, {}, { "b" } }, kStart);
  directory_delta removals{ 11, 12, {}, {} };
  for (int index = 0; index < kRemovals; ++index) {
    removals.mRemovedIds.push_back("c" + std::to_string(index));
  }
  directory.OnWatch(removals, kStart);
  directory.OnWatch({ 9, 10, { Leaf("b", 2) }, {} }, kStart);
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, ARemovedLeafMayReturnWithItsOldRevision)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnSnapshot({ 11, {} }, kStart + seconds(1));
  EXPECT_EQ(directory.Size(), 0U);
  directory.OnSnapshot({ 12, { Leaf("a", 1) } }, kStart + seconds(2));
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, DetectsAGapBetweenDeltas)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  EXPECT_TRUE(directory.OnDelta({ 10, 11, {}, {} }, kStart));
  EXPECT_FALSE(directory.OnDelta({ 12, 13, { Leaf("c", 13) }, {} }, kStart));
  EXPECT_EQ(directory.Revision(), 11U);
  EXPECT_EQ(directory.Size(), 2U);
}

TEST(LeafDirectory, ChangesSinceARevisionIncludeRemovals)
{
  leaf_directory source;
  source.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  leaf_directory peer;
  EXPECT_TRUE(peer.OnPulledChanges(source.ChangesSince(0), kStart));
  EXPECT_EQ(peer.Size(), 2U);
  source.OnWatch({ 10, 12, { Leaf("c", 12) }, { "b" } }, kStart);
  const auto delta = source.ChangesSince(peer.Revision());
  EXPECT_EQ(delta, (directory_delta{ 10, 12, { Leaf("c", 12) }, { "b" } }));
  EXPECT_TRUE(peer.OnPulledChanges(delta, kStart));
  EXPECT_EQ(peer.Revision(), 12U);
  EXPECT_EQ(peer.Size(), 2U);
}

/** A leaf may return with its old revision; peers still have to learn of it. */
TEST(LeafDirectory, ChangesIncludeALeafThatReturnedUnchanged)
{
  leaf_directory source;
  source.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  source.OnSnapshot({ 11, {} }, kStart + seconds(1));
  leaf_directory peer;
  peer.OnPulledChanges(source.ChangesSince(0), kStart);
  EXPECT_EQ(peer.Size(), 0U);
  source.OnSnapshot({ 12, { Leaf("a", 1) } }, kStart + seconds(2));
  EXPECT_TRUE(peer.OnPulledChanges(source.ChangesSince(11), kStart));
  EXPECT_EQ(peer.Size(), 1U);
}

/** An instance that has just started does not know which leaves were removed
 * before, so its changes must not count as complete. A peer that pulls from it
 * gets all registrations and finds out itself. */
TEST(LeafDirectory, AYoungDirectoryDoesNotCloseAnOlderGap)
{
  leaf_directory peer;
  peer.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  leaf_directory young;
  const auto first = young.OnSnapshot({ 20, { Leaf("a", 1) } }, kStart);
  EXPECT_FALSE(peer.OnDelta(*first, kStart));
  EXPECT_EQ(peer.Revision(), 10U);
  EXPECT_EQ(peer.Size(), 2U);
  EXPECT_TRUE(peer.OnPulledChanges(young.ChangesSince(10), kStart));
  EXPECT_EQ(peer.Revision(), 20U);
  EXPECT_EQ(peer.Size(), 1U);
}

/** What a peer knows is a sign of the store as of the peer's own last sign: in
 * an outage, the re-registration period must not end before it has begun. */
TEST(LeafDirectory, OldPulledChangesAreNoSignOfTheStore)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnPulledChanges({ 10, 11, {}, {} }, kStart + milliseconds(100));
  directory.OnStoreFailure(kStart + seconds(1));
  directory.OnSnapshot({ 12, {} }, kStart + milliseconds(3'000));
  EXPECT_EQ(directory.Size(), 1U);
}

/** An instance that gets the changes by pulling only must not take the lack of
 * messages from the reader for an outage of the store. */
TEST(LeafDirectory, PulledChangesShowThatTheStoreIsRead)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  EXPECT_TRUE(directory.OnPulledChanges({ 10, 12, {}, {} },
                                        kStart + milliseconds(1'500)));
  EXPECT_EQ(directory.LastCompleteTime(), kStart + milliseconds(1'500));
  directory.OnSnapshot({ 13, { Leaf("a", 1) } }, kStart + milliseconds(2'500));
  EXPECT_EQ(directory.Size(), 1U);
}

/** The first sign of the store after an outage may be pulled from a peer. */
TEST(LeafDirectory, PulledChangesStartTheReregistrationPeriod)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnStoreFailure(kStart + seconds(1));
  const auto recovered = kStart + seconds(5);
  directory.OnPulledChanges({ 10, 12, {}, {} }, recovered);
  directory.OnSnapshot({ 13, {} }, recovered + milliseconds(500));
  EXPECT_EQ(directory.Size(), 1U);
}

/** What a reader sends to its peers has to be complete since its base revision,
 * also where the reader knew a change before, from a delta that left a gap. */
TEST(LeafDirectory, DeltasContainWhatTheReaderKnewBefore)
{
  leaf_directory reader;
  leaf_directory peer;
  for (leaf_directory* directory : { &reader, &peer }) {
    directory->OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  }
  // A delta that the peer misses; part of it is new to the reader.
  EXPECT_FALSE(reader.OnDelta({ 20, 21, { Leaf("c", 21) }, { "b" } }, kStart));
  const auto delta =
    reader.OnWatch({ 10, 22, { Leaf("c", 21) }, { "b" } }, kStart);
  EXPECT_TRUE(peer.OnDelta(delta, kStart));
  EXPECT_EQ(peer.Size(), 2U);
  EXPECT_EQ(peer.ChangesSince(10).mRemovedIds, std::vector<std::string>{ "b" });
}

/** A reader that was behind keeps leaves that are missing for the
 * re-registration period. The later removal has no revision of its own, and a
 * peer that misses it would send requests to those leaves for good, unless it
 * knows itself that they are missing. */
TEST(LeafDirectory, PeersOfAReaderThatKeepsMissingLeavesRemoveThemThemselves)
{
  leaf_directory reader;
  leaf_directory peer;
  for (leaf_directory* directory : { &reader, &peer }) {
    directory->OnSnapshot({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  }
  reader.OnStoreFailure(kStart + seconds(1));
  const auto later = kStart + seconds(3);
  const auto delta = reader.OnSnapshot({ 14, { Leaf("a", 1) } }, later);
  ASSERT_TRUE(delta);
  ASSERT_EQ(reader.MissingCount(), 1U);
  leaf_directory starting;
  leaf_directory pulling;
  pulling.OnSnapshot({ 5, { Leaf("b", 2) } }, kStart);
  EXPECT_TRUE(peer.OnDelta(*delta, later));
  EXPECT_TRUE(starting.OnPulledChanges(reader.ChangesSince(0), later));
  EXPECT_TRUE(pulling.OnPulledChanges(reader.ChangesSince(5), later));
  for (leaf_directory* directory : { &reader, &peer, &starting, &pulling }) {
    EXPECT_EQ(directory->Revision(), 14U);
    // Signs of the store, without any change.
    for (int second = 1; second < 4; ++second) {
      directory->OnDelta({ 14, 14, {}, {}, { "b" } }, later + seconds(second));
      directory->RemoveMissing(later + seconds(second));
    }
    EXPECT_EQ(directory->Size(), 1U);
  }
}

/** A leaf that registers again with its old revision is no change that a
 * reader tells, but no longer missing. */
TEST(LeafDirectory, PeersKeepALeafThatIsNoLongerMissing)
{
  leaf_directory reader;
  leaf_directory peer;
  const directory_snapshot all{ 10, { Leaf("a", 1), Leaf("b", 2) } };
  for (leaf_directory* directory : { &reader, &peer }) {
    directory->OnSnapshot(all, kStart);
  }
  reader.OnStoreFailure(kStart + seconds(1));
  const auto later = kStart + seconds(3);
  peer.OnDelta(*reader.OnSnapshot({ 14, { Leaf("a", 1) } }, later), later);
  EXPECT_EQ(peer.MissingCount(), 1U);
  const auto back = later + seconds(1);
  peer.OnDelta(*reader.OnSnapshot({ 15, all.mLeaves }, back), back);
  EXPECT_EQ(peer.MissingCount(), 0U);
  peer.RemoveMissing(later + milliseconds(2'400));
  EXPECT_EQ(peer.Size(), 2U);
}

/** A leaf that is added and removed between two calls is gone; otherwise
 * requests would be sent to it for good. */
TEST(LeafDirectory, ALeafThatComesAndGoesAtOnceIsNoChange)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  directory.TakeChanges();
  directory.OnWatch({ 10, 11, { Leaf("b", 11) }, {} }, kStart);
  directory.OnWatch({ 11, 12, {}, { "b" } }, kStart);
  EXPECT_TRUE(directory.TakeChanges().mChangedLeaves.empty());
}

/** A leaf comes and leaves between two reads of a reader, and a peer learns of
 * it in between from another one. The reader knows nothing to tell of it, and
 * the peer would keep the leaf for good. */
TEST(LeafDirectory, APeerLosesALeafThatTheReaderHasNeverKnown)
{
  const directory_snapshot before{ 10, { Leaf("a", 1) } };
  leaf_directory reader;
  leaf_directory peer;
  for (leaf_directory* directory : { &reader, &peer }) {
    directory->OnSnapshot(before, kStart);
  }
  peer.OnDelta({ 10, 11, { Leaf("b", 11) }, {}, {} }, kStart);
  const auto pushed = reader.OnSnapshot({ 12, before.mLeaves }, kStart);
  EXPECT_FALSE(peer.OnDelta(*pushed, kStart));
  EXPECT_TRUE(
    peer.OnPulledChanges(reader.ChangesSince(peer.Revision()), kStart));
  EXPECT_EQ(peer.Revision(), 12U);
  EXPECT_EQ(peer.Size(), 1U);
}

/** Guards against requests to a leaf that has left: it came and left between
 * two reads of a reader. A peer that had learned of it from another reader
 * pulled from a third one, which knew the reader's changes only and took its
 * removals for complete. */
TEST(LeafDirectory, APeerOfAReaderDoesNotCloseTheGapThatTheReaderSkipped)
{
  leaf_directory reader;
  leaf_directory peer;
  for (leaf_directory* directory : { &reader, &peer }) {
    directory->OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  }
  leaf_directory other;
  other.OnSnapshot({ 15, { Leaf("a", 1), Leaf("b", 12) } }, kStart);
  const auto delta = reader.OnSnapshot({ 20, { Leaf("a", 1) } }, kStart);
  ASSERT_TRUE(delta);
  EXPECT_TRUE(peer.OnDelta(*delta, kStart));
  EXPECT_FALSE(other.OnDelta(*delta, kStart));
  EXPECT_TRUE(other.OnPulledChanges(peer.ChangesSince(15), kStart));
  EXPECT_EQ(other.Revision(), 20U);
  EXPECT_EQ(other.Size(), 1U);
}

/** Guards against requests to a leaf that has left: a starting instance whose
 * first read has pages of two revisions took itself to know all removals since
 * the lower one. */
TEST(LeafDirectory, AStartingInstanceKnowsNoRemovalsBetweenItsPages)
{
  const auto at = [](std::uint64_t aNumber) {
    return model::store_revision(aNumber, 1);
  };
  const auto leaf = [&](const std::string& aId) {
    leaf_registration registration = Leaf(aId, 0);
    registration.mRevision = at(1);
    return registration;
  };
  leaf_directory starting;
  directory_snapshot pages{ at(10), { leaf("c") } };
  pages.mRanges.Raise("", "b", at(20));
  starting.OnSnapshot(pages, kStart);
  starting.OnWatch({ at(10), at(21), {}, {} }, kStart);
  leaf_directory peer;
  // It leaves at revision 15, which the first page is beyond.
  peer.OnSnapshot({ at(10), { leaf("a"), leaf("c") } }, kStart);
  EXPECT_TRUE(peer.OnPulledChanges(starting.ChangesSince(at(10)), kStart));
  EXPECT_EQ(peer.Size(), 1U);
}

/** An instance learns of a leaf from changes that it cannot apply as complete,
 * and gets the complete ones only after the leaf has left. */
TEST(LeafDirectory, ALeafKnownFromIncompleteChangesDoesNotStay)
{
  const directory_snapshot before{ 10, { Leaf("a", 1) } };
  leaf_directory reader;
  leaf_directory peer;
  for (leaf_directory* directory : { &reader, &peer }) {
    directory->OnSnapshot(before, kStart);
  }
  EXPECT_FALSE(peer.OnDelta({ 11, 12, { Leaf("b", 12) }, {}, {} }, kStart));
  EXPECT_EQ(peer.Size(), 2U);
  const auto delta = reader.OnSnapshot({ 14, before.mLeaves }, kStart);
  EXPECT_TRUE(peer.OnDelta(*delta, kStart));
  EXPECT_EQ(peer.Size(), 1U);
}

/** The same leaf, known to a starting instance from that peer, is told again.
 */
TEST(LeafDirectory, ALeafKnownBeyondThePeersRevisionIsTold)
{
  leaf_directory peer;
  peer.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  peer.OnDelta({ 11, 12, { Leaf("b", 12) }, {}, {} }, kStart);
  leaf_directory starting;
  starting.OnPulledChanges(peer.ChangesSince(0), kStart);
  starting.OnSnapshot({ 14, { Leaf("a", 1), Leaf("b", 12) } }, kStart);
  EXPECT_TRUE(peer.OnPulledChanges(starting.ChangesSince(10), kStart));
  EXPECT_EQ(peer.Size(), 2U);
}

TEST(LeafDirectory, HeartbeatsAreNotReportedAsChanges)
{
  leaf_directory directory;
  directory.OnSnapshot({ 10, { Leaf("a", 1) } }, kStart);
  EXPECT_EQ(directory.TakeChanges().mChangedLeaves.size(), 1U);
  directory.OnSnapshot({ 11, { Leaf("a", 11) } }, kStart + seconds(1));
  EXPECT_TRUE(directory.TakeChanges().mChangedLeaves.empty());
  leaf_registration draining = Leaf("a", 12);
  draining.mDraining = true;
  directory.OnSnapshot({ 12, { draining } }, kStart + seconds(2));
  EXPECT_EQ(directory.TakeChanges().mChangedLeaves.size(), 1U);
}

} // namespace
} // namespace monsooncroft::serving
