/**
 * @file directory_test.cpp
 * What is believed of registrations, through outages of the store.
 */
#include "serving/leaf_directory_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

leaf_entry
Leaf(const std::string& aId, std::uint64_t aRevision)
{
  leaf_entry entry;
  entry.mId = aId;
  entry.mService = "s";
  entry.mAddress = { "10.0.0.1", 80 };
  entry.mRevision = aRevision;
  return entry;
}

const model::instant kStart{ seconds(100) };

TEST(LeafDirectory, AMissingRegistrationOfAWellStoreIsGoneAtOnce)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  const auto delta =
    directory.OnRead({ 11, { Leaf("a", 1) } }, kStart + seconds(1));
  ASSERT_TRUE(delta);
  EXPECT_EQ(delta->mRemoved, std::vector<std::string>{ "b" });
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, AnOlderReadChangesNothing)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1), Leaf("b", 10) } }, kStart);
  EXPECT_FALSE(directory.OnRead({ 9, { Leaf("a", 1) } }, kStart + seconds(1)));
  EXPECT_EQ(directory.Size(), 2U);
}

/** A store may give a registration back as it was. */
TEST(LeafDirectory, ARegistrationThatReturnsUnchangedStays)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  const auto back = kStart + seconds(5);
  directory.OnRead({ 12, {} }, back);
  directory.OnRead({ 13, { Leaf("a", 1) } }, back + seconds(1));
  EXPECT_FALSE(directory.Settle(back + milliseconds(2'400)));
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, RegistrationsThatLapsedWithTheStoreMayReturn)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1), Leaf("b", 2) } }, kStart);
  const auto back = kStart + seconds(5);
  directory.OnRead({ 12, {} }, back);
  EXPECT_EQ(directory.Size(), 2U);
  directory.OnWatch({ 12, 13, { Leaf("a", 13) }, {} }, back + seconds(1));
  EXPECT_FALSE(directory.Settle(back + milliseconds(2'000)));
  const auto settled = directory.Settle(back + milliseconds(2'400));
  ASSERT_TRUE(settled);
  EXPECT_EQ(settled->mRemoved, std::vector<std::string>{ "b" });
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, APeersWordBeginsTheTimeToReturn)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  const auto back = kStart + seconds(5);
  // Another instance was the first to read the store again.
  directory.OnDelta({ 10, 12, {}, {} }, back);
  directory.OnRead({ 12, {} }, back + milliseconds(20));
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, PeersLearnThatALeafHasReturnedUnchanged)
{
  leaf_directory reader;
  reader.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  const auto delta =
    reader.OnWatch({ 10, 13, { Leaf("a", 13) }, {} }, kStart + seconds(1));
  ASSERT_EQ(delta.mChanged.size(), 1U);

  leaf_directory peer;
  peer.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  EXPECT_TRUE(peer.OnDelta(delta, kStart + seconds(1)));
  // A removal that was decided before the return does not hold any more.
  peer.OnDelta({ 12, 12, {}, { "a" } }, kStart + seconds(2));
  EXPECT_EQ(peer.Size(), 1U);
}

TEST(LeafDirectory, ALeafThatWasGoneMayReturnWithItsOldRevision)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  directory.OnRead({ 11, {} }, kStart + seconds(1));
  EXPECT_EQ(directory.Size(), 0U);
  directory.OnRead({ 12, { Leaf("a", 1) } }, kStart + seconds(2));
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(LeafDirectory, AGapInWhatPeersToldIsNoticed)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  EXPECT_TRUE(directory.OnDelta({ 10, 11, {}, {} }, kStart));
  EXPECT_FALSE(directory.OnDelta({ 12, 13, { Leaf("c", 13) }, {} }, kStart));
  EXPECT_EQ(directory.Revision(), 11U);
  EXPECT_EQ(directory.Size(), 2U);
}

TEST(LeafDirectory, OnlyTrueChangesReachTheDataPath)
{
  leaf_directory directory;
  directory.OnRead({ 10, { Leaf("a", 1) } }, kStart);
  EXPECT_EQ(directory.TakeChanges().mChanged.size(), 1U);
  directory.OnRead({ 11, { Leaf("a", 11) } }, kStart + seconds(1));
  EXPECT_TRUE(directory.TakeChanges().mChanged.empty());
  leaf_entry draining = Leaf("a", 12);
  draining.mDraining = true;
  directory.OnRead({ 12, { draining } }, kStart + seconds(2));
  EXPECT_EQ(directory.TakeChanges().mChanged.size(), 1U);
}

} // namespace
} // namespace monsooncroft::serving
