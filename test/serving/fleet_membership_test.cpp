/**
 * @file fleet_membership_test.cpp
 * Membership, duty ranks and message encoding, in virtual time.
 */
#include "serving/fleet_codec_func.h"
#include "serving/fleet_membership_base.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Instances that run gossip rounds; single instances can be cut off. */
class simulated_fleet
{
public:
  explicit simulated_fleet(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      fleet_member self;
      self.mName = "i" + std::to_string(index);
      self.mDataCentre = "dc" + std::to_string(index % 3);
      self.mPeerEndpoint = { "10.0.0." + std::to_string(index + 1), 7000 };
      self.mIncarnation = 1;
      self.mReachesStore = true;
      mInstances.push_back(std::make_unique<fleet_membership>(
        self,
        std::vector<model::endpoint>{ { "10.0.0.1", 7000 },
                                      { "10.0.0.2", 7000 } },
        fleet_membership_settings{},
        static_cast<std::uint64_t>(index)));
    }
    mCutOff.assign(mInstances.size(), false);
  }

  void Run(model::duration aFor)
  {
    for (const auto end = mNow + aFor; mNow < end; mNow += milliseconds(250)) {
      for (std::size_t from = 0; from < mInstances.size(); ++from) {
        RunRound(from);
      }
    }
  }
  void SetCutOff(std::size_t aIndex, bool aCutOff)
  {
    mCutOff[aIndex] = aCutOff;
  }
  fleet_membership& Instance(std::size_t aIndex) { return *mInstances[aIndex]; }
  model::instant Now() const { return mNow; }
  std::size_t Datagrams() const { return mDatagrams; }

private:
  void RunRound(std::size_t aFrom)
  {
    if (mCutOff[aFrom]) {
      return;
    }
    const auto targets = mInstances[aFrom]->StartGossipRound(mNow);
    const bool alone = mInstances[aFrom]->LiveMembers(mNow).empty();
    fleet_message sent = mInstances[aFrom]->BuildMessage(mNow);
    sent.mWantsReply = alone;
    const std::string bytes = EncodeMessage(sent);
    EXPECT_LT(bytes.size(), 1'400U);
    for (const model::endpoint& target : targets) {
      ++mDatagrams;
      const auto index = std::stoul(target.mAddress.substr(7)) - 1;
      if (!mCutOff[index]) {
        const auto message = *DecodeMessage(bytes);
        mInstances[index]->OnMessage(message, mNow);
        if (message.mWantsReply) {
          mInstances[aFrom]->OnMessage(mInstances[index]->BuildMessage(mNow),
                                       mNow);
        }
      }
    }
  }

  std::vector<std::unique_ptr<fleet_membership>> mInstances;
  std::vector<bool> mCutOff;
  model::instant mNow{ seconds(100) };
  std::size_t mDatagrams = 0;
};

/** Callers connect ten seconds after the machines start; all instances must
 * know each other by then. */
TEST(FleetMembership, AllInstancesKnowEachOtherBeforeCallersConnect)
{
  for (const int count : { 2, 9, 84 }) {
    simulated_fleet fleet(count);
    fleet.Run(seconds(5));
    for (int index = 0; index < count; ++index) {
      EXPECT_EQ(fleet.Instance(index).FleetSize(fleet.Now()).mTotal,
                static_cast<std::size_t>(count));
    }
  }
}

/** After a change of the configuration or of many leaves the whole fleet pulls
 * at once; the pulls must be spread over the members that can answer them. */
TEST(FleetMembership, PullsOfANewConfigurationAreSpread)
{
  simulated_fleet fleet(84);
  fleet.Run(seconds(5));
  for (std::size_t holder = 0; holder < 42; ++holder) {
    fleet.Instance(holder).SetConfigVersion(7);
  }
  fleet.Run(seconds(3));
  std::map<std::string, int> pulls;
  for (std::size_t index = 42; index < 84; ++index) {
    ++pulls[fleet.Instance(index).MemberWithNewerConfig(fleet.Now())->mName];
  }
  EXPECT_GE(pulls.size(), 20U);
  for (const auto& [name, count] : pulls) {
    EXPECT_LE(count, 6) << name;
  }
}

/** A running instance that is taken as unreachable receives no drain marks of
 * leaves. */
TEST(FleetMembership, NoRunningInstanceIsTakenAsUnreachable)
{
  for (const int count : { 9, 84 }) {
    simulated_fleet fleet(count);
    fleet.Run(seconds(5));
    std::size_t missing = 0;
    for (int round = 0; round < 60; ++round) {
      fleet.Run(milliseconds(250));
      for (int index = 0; index < count; ++index) {
        missing +=
          count - 1 - fleet.Instance(index).LiveMembers(fleet.Now()).size();
      }
    }
    EXPECT_EQ(missing, 0U) << count << " instances";
  }
}

TEST(FleetMembership, CostOfARoundDoesNotGrowWithTheFleet)
{
  simulated_fleet small(9);
  small.Run(seconds(10));
  simulated_fleet large(84);
  large.Run(seconds(10));
  EXPECT_NEAR(static_cast<double>(large.Datagrams()) / 84,
              static_cast<double>(small.Datagrams()) / 9,
              20);
}

TEST(FleetMembership, ACutOffInstanceIsDetectedAndRejoins)
{
  simulated_fleet fleet(9);
  fleet.Run(seconds(3));
  fleet.SetCutOff(4, true);
  fleet.Run(seconds(4));
  EXPECT_EQ(fleet.Instance(0).LiveMembers(fleet.Now()).size(), 7U);
  // It may still hold connections and spend budget.
  EXPECT_EQ(fleet.Instance(0).FleetSize(fleet.Now()).mTotal, 9U);
  fleet.SetCutOff(4, false);
  fleet.Run(seconds(3));
  EXPECT_EQ(fleet.Instance(0).LiveMembers(fleet.Now()).size(), 8U);
  EXPECT_EQ(fleet.Instance(4).LiveMembers(fleet.Now()).size(), 8U);
}

/** Members were forgotten after 15 seconds: each side of a longer partition
 * took itself for the whole fleet and used the whole of limits that are shared.
 */
TEST(FleetMembership, InstancesOutOfReachCountForAMinute)
{
  simulated_fleet fleet(9);
  fleet.Run(seconds(5));
  for (std::size_t index = 0; index < 9; ++index) {
    fleet.SetCutOff(index, index > 2);
  }
  fleet.Run(seconds(30));
  EXPECT_EQ(fleet.Instance(0).KnownInstances(fleet.Now()), 9U);
  EXPECT_EQ(fleet.Instance(0).ReachableInstances(fleet.Now()), 3U);
  EXPECT_EQ(fleet.Instance(0).FleetSize(fleet.Now()).mTotal, 3U);
  fleet.Run(seconds(40));
  EXPECT_EQ(fleet.Instance(0).KnownInstances(fleet.Now()), 3U);
}

/** All instances name the same deputy, elsewhere than the holder. */
TEST(FleetMembership, DeputyIsInAnotherDataCentre)
{
  simulated_fleet fleet(9);
  fleet.Run(seconds(5));
  for (int duty = 0; duty < 8; ++duty) {
    const std::string salt = "quota " + std::to_string(duty);
    const auto holder = fleet.Instance(0)
                          .DutyHolder(salt, fleet.Now())
                          .value_or(fleet.Instance(0).Self());
    const auto deputy = fleet.Instance(0).DutyDeputy(salt, fleet.Now());
    ASSERT_TRUE(deputy);
    EXPECT_NE(deputy->mDataCentre, holder.mDataCentre);
    for (std::size_t index = 1; index < 9; ++index) {
      EXPECT_EQ(fleet.Instance(index).DutyDeputy(salt, fleet.Now())->mName,
                deputy->mName);
    }
  }
  simulated_fleet single(1);
  EXPECT_FALSE(single.Instance(0).DutyDeputy("quota 0", single.Now()));
}

TEST(FleetMembership, ExactlyOneInstanceIsFirstForADuty)
{
  simulated_fleet fleet(9);
  fleet.Run(seconds(3));
  int first = 0;
  std::size_t holder = 0;
  for (std::size_t index = 0; index < 9; ++index) {
    if (fleet.Instance(index).DutyRank("duty", false, fleet.Now()) == 0) {
      ++first;
      holder = index;
    }
  }
  EXPECT_EQ(first, 1);
  // The first instance loses the store: the next one takes over as soon as the
  // change has been gossiped.
  fleet.Instance(holder).SetReachesStore(false);
  fleet.Run(seconds(2));
  first = 0;
  for (std::size_t index = 0; index < 9; ++index) {
    first += index != holder &&
                 fleet.Instance(index).DutyRank("duty", false, fleet.Now()) == 0
               ? 1
               : 0;
  }
  EXPECT_EQ(first, 1);
}

/** Most instances learn a member's heartbeats from others, without its state.
 * The state that arrives after such a heartbeat must still be accepted. */
TEST(FleetMembership, AHeartbeatDoesNotHideANewerState)
{
  fleet_member self;
  self.mName = "self";
  fleet_membership membership(self, {}, {}, 1);
  const model::instant now{ seconds(100) };
  fleet_member other;
  other.mName = "other";
  other.mIncarnation = 1;
  other.mHeartbeat = 10;
  other.mStateHeartbeat = 10;
  membership.OnMessage({ { other }, false, {}, {}, {} }, now);

  fleet_membership relay(self, {}, { .mMembersPerMessage = 1 }, 1);
  fleet_member later = other;
  later.mHeartbeat = 20;
  relay.OnMessage({ { later }, false, {}, {}, {} }, now);
  const fleet_message heartbeats = relay.BuildMessage(now);
  ASSERT_EQ(heartbeats.mHeartbeats.size(), 1U);
  membership.OnMessage(heartbeats, now);

  fleet_member changed = other;
  changed.mHeartbeat = 15;
  changed.mStateHeartbeat = 15;
  changed.mConfigVersion = 7;
  membership.OnMessage({ { changed }, false, {}, {}, {} }, now + seconds(1));
  ASSERT_TRUE(membership.MemberWithNewerConfig(now + seconds(1)));
  // The state is older than the last heartbeat, so it is no new contact.
  EXPECT_TRUE(membership.LiveMembers(now + milliseconds(2'500)).empty());
}

TEST(FleetMembership, FindsAMemberWithANewerConfiguration)
{
  simulated_fleet fleet(9);
  fleet.Run(seconds(2));
  fleet.Instance(3).SetConfigVersion(7);
  fleet.Run(seconds(1));
  const auto newer = fleet.Instance(8).MemberWithNewerConfig(fleet.Now());
  ASSERT_TRUE(newer);
  EXPECT_EQ(newer->mConfigVersion, 7U);
  fleet.Instance(8).SetConfigVersion(7);
  EXPECT_FALSE(fleet.Instance(8).MemberWithNewerConfig(fleet.Now()));
}

TEST(FleetMembership, PullsOfMissedChangesAreSpread)
{
  simulated_fleet fleet(30);
  fleet.Run(seconds(2));
  for (std::size_t index = 0; index < 10; ++index) {
    fleet.Instance(index).SetDirectoryRevision(100 + index);
  }
  fleet.Run(seconds(1));
  std::map<std::string, int> pulls;
  for (std::size_t index = 10; index < 30; ++index) {
    const auto source =
      fleet.Instance(index).MemberWithNewerDirectory(fleet.Now());
    ASSERT_TRUE(source);
    ++pulls[source->mName];
  }
  EXPECT_GE(pulls.size(), 5U);
  EXPECT_FALSE(fleet.Instance(9).MemberWithNewerDirectory(fleet.Now()));
}

TEST(FleetCodec, SnapshotsRoundTrip)
{
  leaf_registration leaf;
  leaf.mId = "l";
  const fleet_snapshot snapshot{
    3, 4, "text", { 10, 12, { leaf }, { "gone" } }, 250
  };
  const auto decoded = DecodeSnapshot(EncodeSnapshot(snapshot));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mConfigText, "text");
  EXPECT_EQ(decoded->mDirectory, snapshot.mDirectory);
  EXPECT_EQ(decoded->mCompleteAgeMs, 250U);
  const std::string request = EncodeSnapshotRequest({ 7, 1'234'567 });
  EXPECT_EQ(DecodeSnapshotRequest(request), (snapshot_request{ 7, 1'234'567 }));
  EXPECT_FALSE(DecodeSnapshotRequest(request.substr(0, request.size() - 1)));
}

/** Guards against leaves that return: a peer that takes the lowest revision of
 * several for all ids accepts older states of the others. */
TEST(FleetCodec, RevisionsOfRangesRoundTrip)
{
  fleet_snapshot snapshot;
  snapshot.mDirectory.mRevision = 5;
  snapshot.mDirectory.mRemovedIds = { "a", "m" };
  snapshot.mDirectory.mRanges.Raise("c", "k", 9);
  snapshot.mDirectory.mRanges.Raise("t", std::nullopt, 7);
  snapshot.mDirectory.mLaterRevisions["m"] = 8;
  snapshot.mDirectory.mReregistrationTime = std::chrono::milliseconds(700);
  const auto decoded = DecodeSnapshot(EncodeSnapshot(snapshot));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mDirectory, snapshot.mDirectory);
  fleet_message message;
  message.mMembers = { fleet_member{} };
  message.mDirectoryDeltas = { snapshot.mDirectory };
  message.mDirectoryDeltas[0].mBaseRevision = 4;
  message.mDirectoryDeltas[0].mBaseRanges.Raise("", "c", 5);
  const auto decodedMessage = DecodeMessage(EncodeMessage(message));
  ASSERT_TRUE(decodedMessage);
  EXPECT_EQ(decodedMessage->mDirectoryDeltas, message.mDirectoryDeltas);
}

TEST(FleetCodec, RoundTrips)
{
  fleet_member member;
  member.mName = "a";
  member.mPeerEndpoint = { "10.0.0.1", 7 };
  member.mConfigVersion = 9;
  member.mDirectoryRevision = 1'234'567;
  member.mReachesStore = true;
  leaf_registration leaf;
  leaf.mId = "l";
  leaf.mDraining = true;
  leaf.mIncarnation = 1'700'000'000'000;
  const fleet_message message{
    { member },
    true,
    { { "l", 300 } },
    { { 1, 2, { leaf }, { "gone" } } },
    { { { { 1, 2 }, { 3, 4 }, model::service_id("s") }, true, {} } }
  };
  EXPECT_EQ(DecodeMessage(EncodeMessage(message)), message);
}

/** Truncated and corrupted datagrams must neither crash the decoder nor, if
 * truncated, decode. */
TEST(FleetCodec, RejectsTruncatedAndForeignBytes)
{
  const std::string valid =
    EncodeMessage({ { fleet_member{} }, false, {}, {}, {} });
  for (std::size_t length = 0; length < valid.size(); ++length) {
    EXPECT_FALSE(DecodeMessage(valid.substr(0, length)));
  }
  for (std::size_t offset = 0; offset < valid.size(); ++offset) {
    std::string corrupted = valid;
    corrupted[offset] = static_cast<char>(corrupted[offset] ^ 0x55);
    DecodeMessage(corrupted); // May decode, but must not throw.
  }
  EXPECT_FALSE(DecodeSnapshot("\x01"));
  EXPECT_FALSE(DecodeSnapshot(""));
}

} // namespace
} // namespace monsooncroft::serving
