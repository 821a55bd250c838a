/**
 * @file fleet_membership_test.cpp
 * Members, ranks and messages between instances, in virtual time.
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

/** Instances that exchange rounds; some links are cut. */
class world
{
public:
  explicit world(int aCount)
  {
    for (int place = 0; place < aCount; ++place) {
      fleet_member self;
      self.mName = "i" + std::to_string(place);
      self.mDataCentre = "dc" + std::to_string(place % 3);
      self.mPeerEndpoint = { "10.0.0." + std::to_string(place + 1), 7000 };
      self.mIncarnation = 1;
      self.mReachesStore = true;
      mViews.push_back(std::make_unique<fleet_membership>(
        self,
        std::vector<model::endpoint>{ { "10.0.0.1", 7000 },
                                      { "10.0.0.2", 7000 } },
        fleet_membership_settings{},
        static_cast<std::uint64_t>(place)));
    }
    mCut.assign(mViews.size(), false);
  }

  void Run(model::duration aFor)
  {
    for (const auto end = mNow + aFor; mNow < end; mNow += milliseconds(250)) {
      for (std::size_t from = 0; from < mViews.size(); ++from) {
        Round(from);
      }
    }
  }
  void Cut(std::size_t aPlace, bool aCut) { mCut[aPlace] = aCut; }
  fleet_membership& View(std::size_t aPlace) { return *mViews[aPlace]; }
  model::instant Now() const { return mNow; }
  std::size_t Datagrams() const { return mDatagrams; }

private:
  void Round(std::size_t aFrom)
  {
    if (mCut[aFrom]) {
      return;
    }
    const auto targets = mViews[aFrom]->StartGossipRound(mNow);
    const bool alone = mViews[aFrom]->LiveMembers(mNow).empty();
    fleet_message told = mViews[aFrom]->BuildMessage(mNow);
    told.mWantsReply = alone;
    const std::string bytes = EncodeMessage(told);
    EXPECT_LT(bytes.size(), 1'400U);
    for (const model::endpoint& target : targets) {
      ++mDatagrams;
      const auto place = std::stoul(target.mAddress.substr(7)) - 1;
      if (!mCut[place]) {
        const auto message = *DecodeMessage(bytes);
        mViews[place]->OnMessage(message, mNow);
        if (message.mWantsReply) {
          mViews[aFrom]->OnMessage(mViews[place]->BuildMessage(mNow), mNow);
        }
      }
    }
  }

  std::vector<std::unique_ptr<fleet_membership>> mViews;
  std::vector<bool> mCut;
  model::instant mNow{ seconds(100) };
  std::size_t mDatagrams = 0;
};

/** Callers come ten seconds after the machines start. */
TEST(FleetView, AllKnowAllLongBeforeCallersCome)
{
  for (const int count : { 2, 9, 84 }) {
    world fleet(count);
    fleet.Run(seconds(5));
    for (int place = 0; place < count; ++place) {
      EXPECT_EQ(fleet.View(place).FleetSize(fleet.Now()).mTotal,
                static_cast<std::size_t>(count));
    }
  }
}

/** A whole fleet asks at once when a configuration or many leaves change. */
TEST(FleetView, ManyThatHaveTheNewestAreAskedInTurn)
{
  world fleet(84);
  fleet.Run(seconds(5));
  for (std::size_t holder = 0; holder < 42; ++holder) {
    fleet.View(holder).SetConfigVersion(7);
  }
  fleet.Run(seconds(3));
  std::map<std::string, int> asked;
  for (std::size_t place = 42; place < 84; ++place) {
    ++asked[fleet.View(place).MemberWithNewerConfig(fleet.Now())->mName];
  }
  EXPECT_GE(asked.size(), 20U);
  for (const auto& [name, count] : asked) {
    EXPECT_LE(count, 6) << name;
  }
}

/** Who is taken for silent is not told of leaves that drain. */
TEST(FleetView, NobodyAliveIsTakenForSilent)
{
  for (const int count : { 9, 84 }) {
    world fleet(count);
    fleet.Run(seconds(5));
    std::size_t missed = 0;
    for (int round = 0; round < 60; ++round) {
      fleet.Run(milliseconds(250));
      for (int place = 0; place < count; ++place) {
        missed += count - 1 - fleet.View(place).LiveMembers(fleet.Now()).size();
      }
    }
    EXPECT_EQ(missed, 0U) << count << " instances";
  }
}

TEST(FleetView, TheCostOfARoundDoesNotGrowWithTheFleet)
{
  world small(9);
  small.Run(seconds(10));
  world large(84);
  large.Run(seconds(10));
  EXPECT_NEAR(static_cast<double>(large.Datagrams()) / 84,
              static_cast<double>(small.Datagrams()) / 9,
              20);
}

TEST(FleetView, ACutInstanceIsMissedAndFoundAgain)
{
  world fleet(9);
  fleet.Run(seconds(3));
  fleet.Cut(4, true);
  fleet.Run(seconds(4));
  EXPECT_EQ(fleet.View(0).LiveMembers(fleet.Now()).size(), 7U);
  // It may still hold connections and spend budget.
  EXPECT_EQ(fleet.View(0).FleetSize(fleet.Now()).mTotal, 9U);
  fleet.Cut(4, false);
  fleet.Run(seconds(3));
  EXPECT_EQ(fleet.View(0).LiveMembers(fleet.Now()).size(), 8U);
  EXPECT_EQ(fleet.View(4).LiveMembers(fleet.Now()).size(), 8U);
}

TEST(FleetView, ExactlyOneIsFirstForADuty)
{
  world fleet(9);
  fleet.Run(seconds(3));
  int first = 0;
  std::size_t holder = 0;
  for (std::size_t place = 0; place < 9; ++place) {
    if (fleet.View(place).DutyRank("duty", false, fleet.Now()) == 0) {
      ++first;
      holder = place;
    }
  }
  EXPECT_EQ(first, 1);
  // It loses the store: the next one takes over at the next word of it.
  fleet.View(holder).SetReachesStore(false);
  fleet.Run(seconds(2));
  first = 0;
  for (std::size_t place = 0; place < 9; ++place) {
    first += place != holder &&
                 fleet.View(place).DutyRank("duty", false, fleet.Now()) == 0
               ? 1
               : 0;
  }
  EXPECT_EQ(first, 1);
}

TEST(FleetView, ANewerConfigurationIsSeen)
{
  world fleet(9);
  fleet.Run(seconds(2));
  fleet.View(3).SetConfigVersion(7);
  fleet.Run(seconds(1));
  const auto newer = fleet.View(8).MemberWithNewerConfig(fleet.Now());
  ASSERT_TRUE(newer);
  EXPECT_EQ(newer->mConfigVersion, 7U);
  fleet.View(8).SetConfigVersion(7);
  EXPECT_FALSE(fleet.View(8).MemberWithNewerConfig(fleet.Now()));
}

TEST(FleetCodec, RoundTrips)
{
  fleet_member member;
  member.mName = "a";
  member.mPeerEndpoint = { "10.0.0.1", 7 };
  member.mConfigVersion = 9;
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

TEST(FleetCodec, ForeignBytesAreNoMessage)
{
  const std::string good =
    EncodeMessage({ { fleet_member{} }, false, {}, {}, {} });
  for (std::size_t length = 0; length < good.size(); ++length) {
    EXPECT_FALSE(DecodeMessage(good.substr(0, length)));
  }
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 0x55);
    DecodeMessage(bad); // Nothing but a message or nothing.
  }
  EXPECT_FALSE(DecodeSnapshot("\x01"));
  EXPECT_FALSE(DecodeSnapshot(""));
}

} // namespace
} // namespace monsooncroft::serving
