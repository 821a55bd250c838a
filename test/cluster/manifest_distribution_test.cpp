/**
 * @file manifest_distribution_test.cpp
 * Guards against a manifest that does not reach every instance, and against an
 * instance that goes back to a lower version.
 */
#include "cluster/fake_network.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace monsooncroft::test {

namespace {

constexpr std::uint64_t kSeed = 11;

/** Three data centres whose instances all have version 1 in force. */
class distribution : public testing::Test
{
protected:
  distribution()
    : mNetwork(kSeed)
  {
    mNetwork.mPlatform.Apply(1);
    mNetwork.AddMany(3, 3);
    mNetwork.Run(10s);
  }

  void TearDown() override
  {
    for (const auto& [id, instance] : mNetwork.mInstances) {
      EXPECT_TRUE(
        std::is_sorted(instance.mAdopted.begin(), instance.mAdopted.end()))
        << id;
    }
  }

  std::chrono::milliseconds TimeToReach(model::manifest_version aVersion)
  {
    return mNetwork.RunUntil([&] { return mNetwork.AllInForce(aVersion); },
                             60s);
  }

  fake_network mNetwork;
};

TEST_F(distribution, ChangeIsInForceEverywhere)
{
  ASSERT_TRUE(mNetwork.AllInForce(1));
  mNetwork.mPlatform.Apply(2);
  EXPECT_LE(TimeToReach(2), 2s);
}

TEST_F(distribution, PollsReplaceAWatchThatNeverFires)
{
  mNetwork.mPlatform.mWatchFires = false;
  mNetwork.mPlatform.Apply(2);
  EXPECT_LE(TimeToReach(2), 5s);
}

TEST_F(distribution, DataCentreCutFromThePlatformUpdatesFromPeers)
{
  mNetwork.mPlatform.mUnreachableFrom.insert(model::data_centre_id("dc1"));
  mNetwork.mPlatform.Apply(2);
  EXPECT_LE(TimeToReach(2), 5s);
}

TEST_F(distribution, LostDatagramsOnlyDelayAChange)
{
  mNetwork.mLoss = 0.2;
  mNetwork.mPlatform.Apply(2);
  EXPECT_LE(TimeToReach(2), 5s);
}

TEST_F(distribution, LowerVersionOfThePlatformIsRefusedAndAlarmed)
{
  mNetwork.mPlatform.Apply(2);
  TimeToReach(2);
  const auto head = mNetwork.mPlatform.mHead;
  mNetwork.mPlatform.Apply(1);
  mNetwork.mPlatform.mStaleHead = mNetwork.mPlatform.mHead;
  mNetwork.mPlatform.mHead = head;
  mNetwork.Run(20s);
  EXPECT_TRUE(mNetwork.AllInForce(2));
  const bool alarmed =
    std::any_of(mNetwork.mInstances.begin(),
                mNetwork.mInstances.end(),
                [](const auto& aEntry) {
                  const auto& alarms = aEntry.second.mAlarms;
                  return std::count(alarms.begin(),
                                    alarms.end(),
                                    cluster::alarm_kind::LowerHead) > 0;
                });
  EXPECT_TRUE(alarmed);
}

TEST_F(distribution, NewInstanceAdoptsTheHighestOfPlatformAndPeers)
{
  const auto stale = mNetwork.mPlatform.mHead;
  mNetwork.mPlatform.Apply(2);
  TimeToReach(2);
  mNetwork.mPlatform.mStaleHead = stale;
  mNetwork.mPlatform.mDelay = 100us; // The platform answers before any peer
                                     // can.
  mNetwork.Add("dc0-new", "dc0", 99);
  mNetwork.PublishInstanceList();
  EXPECT_LE(TimeToReach(2), 5s);
  EXPECT_EQ(mNetwork.mInstances.at("dc0-new").mAdopted,
            std::vector<model::manifest_version>{ 2 });
}

/**
 * Answers every pull from the platform's texts. @return Whether a manifest was
 * handed over for adoption.
 */
bool
AnswerPulls(cluster::manifest_distribution& aDistribution,
            const fake_platform& aPlatform,
            cluster::manifest_distribution::effects aEffects,
            model::instant aNow)
{
  while (!aEffects.empty()) {
    const auto effect = aEffects.back();
    aEffects.pop_back();
    if (std::holds_alternative<cluster::adopt_manifest>(effect)) {
      return true;
    }
    if (const auto* pull = std::get_if<cluster::pull_text>(&effect)) {
      const auto& text = aPlatform.mTexts.at(pull->mHash);
      const auto more =
        aDistribution.OnText(pull->mHash, pull->mPeer, text, aNow);
      aEffects.insert(aEffects.end(), more.begin(), more.end());
    }
  }
  return false;
}

TEST(ManifestDistribution, NewInstanceWaitsForPeersBeforeItAdopts)
{
  const fake_format format;
  fake_platform platform;
  platform.Apply(1);
  const model::instant start(10s);
  const cluster::head_answer answer{ cluster::head_answer::outcome::Found,
                                     platform.mHead };
  cluster::distribution_context context;
  context.mWatchesHead = true;
  context.mPeersAsked = 1;
  for (const bool peerAnswers : { true, false }) {
    cluster::manifest_distribution machine(format, {}, kSeed);
    machine.OnTick(context, start);
    EXPECT_FALSE(AnswerPulls(
      machine, platform, machine.OnHead(answer, false, start), start));
    const auto effects = peerAnswers ? machine.OnPeerAnswered(start)
                                     : machine.OnTick(context, start + 3s);
    EXPECT_TRUE(AnswerPulls(machine, platform, effects, start + 3s));
  }
}

TEST_F(distribution, NewInstanceStartsFromPeersWhileThePlatformIsDown)
{
  mNetwork.mPlatform.mUp = false;
  mNetwork.Add("dc2-new", "dc2", 99);
  mNetwork.PublishInstanceList();
  EXPECT_LE(TimeToReach(1), 5s);
}

TEST_F(distribution, IsolatedInstancePollsThePlatform)
{
  mNetwork.Partition([](const auto& aFrom, const auto& aTo) {
    return aFrom.mId.Value() == "dc0-2" || aTo.mId.Value() == "dc0-2";
  });
  mNetwork.Run(45s); // Longer than a watch that dc0-2 may still have.
  mNetwork.mPlatform.mReads = 0;
  mNetwork.mPlatform.mUnreachableFrom = { model::data_centre_id("dc1"),
                                          model::data_centre_id("dc2") };
  for (const std::string id : { "dc0-0", "dc0-1" }) {
    mNetwork.Kill(id);
  }
  mNetwork.mPlatform.Apply(2);
  const auto& isolated = *mNetwork.mInstances.at("dc0-2").mCore;
  const auto took =
    mNetwork.RunUntil([&] { return isolated.Manifests().Version() == 2; }, 60s);
  EXPECT_LE(took, 12s);
  mNetwork.Run(60s);
  // An isolated instance polls slowly, because many may be isolated at one
  // time.
  EXPECT_LE(mNetwork.mPlatform.mReads, 11);
}

TEST_F(distribution, RestartedInstancesAdoptNoLowerVersion)
{
  mNetwork.mPlatform.Apply(2);
  TimeToReach(2);
  mNetwork.mPlatform.mUp = false;
  for (const std::string id : { "dc0-0", "dc0-1", "dc1-0" }) {
    const auto self = mNetwork.mInstances.at(id).mSelf;
    mNetwork.Kill(id);
    mNetwork.Run(500ms);
    mNetwork.Add(id, self.mDataCentre.Value(), self.mPeer.mPort);
    mNetwork.PublishInstanceList();
    EXPECT_LE(TimeToReach(2), 6s);
  }
}

TEST_F(distribution, FewInstancesWatchTheHead)
{
  mNetwork.mPlatform.mReads = 0;
  mNetwork.Run(60s);
  // Two head watchers in each of three data centres: a read every 1.2 s at most
  // often, and a watch every 20 s.
  EXPECT_LE(mNetwork.mPlatform.mReads, 2 * 3 * (60 * 10 / 12 + 3));
}

} // namespace

} // namespace monsooncroft::test
