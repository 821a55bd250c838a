/**
 * @file quota_fleet_test.cpp
 * Quotas of workspaces over a fleet with failures, seeded and in virtual time.
 */
#include "quota_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Usual load of a workspace, as a fraction of its rate. */
constexpr double kUsual = 1 / 1.6;

quota_fleet_settings
RandomSettings(std::mt19937& aRandom)
{
  quota_fleet_settings settings;
  settings.mInstances = 2 + aRandom() % 12;
  const double rates[] = { 0.5, 1, 1, 2, 5, 10, 20, 25 };
  settings.mLimit.mRatePerSecond = rates[aRandom() % std::size(rates)];
  settings.mLimit.mBurst =
    std::max(1.0, settings.mLimit.mRatePerSecond * (0.5 + aRandom() % 2));
  settings.mLoss = 0.01 * (aRandom() % 6);
  settings.mDuplicates = 0.01 * (aRandom() % 10);
  settings.mSkew = 0.4 * (aRandom() % 3);
  return settings;
}

/** A fleet under a load of many times the quota, with failures one after the
 * other. */
class failure_case
{
public:
  failure_case(std::uint32_t aSeed, const quota_fleet_settings& aMechanisms)
    : mRandom(aSeed)
    , mSettings(RandomSettings(mRandom))
  {
    mSettings.mRestricts = aMechanisms.mRestricts;
    mSettings.mSplitsRate = aMechanisms.mSplitsRate;
    mSettings.mWarnsPeers = aMechanisms.mWarnsPeers;
  }

  /** @return The worst excess over the rule's bound. */
  double Run()
  {
    simulated_quota_fleet fleet(mSettings, mRandom());
    const double usual = kUsual * mSettings.mLimit.mRatePerSecond;
    fleet.Run(milliseconds(4'000), usual);
    const double factors[] = { 1, 4, 8 };
    for (int step = 0; step < 5; ++step) {
      const double load = usual * factors[mRandom() % std::size(factors)];
      if (mRandom() % 2 == 0) {
        fleet.Run(milliseconds(mRandom() % 600), load);
      }
      Fail(fleet);
      fleet.Run(milliseconds(300 + mRandom() % 2'500), load);
    }
    fleet.Run(milliseconds(2'000), usual * 8);
    return fleet.WorstExcess();
  }

private:
  void Fail(simulated_quota_fleet& aFleet)
  {
    const std::size_t any = mRandom() % aFleet.Size();
    switch (mRandom() % 11) {
      case 0:
        aFleet.Crash(aFleet.Issuer());
        break;
      case 1:
        aFleet.Start(aFleet.Issuer());
        break;
      case 2:
        aFleet.Freeze(aFleet.Issuer(), milliseconds(200 + mRandom() % 6'000));
        break;
      case 3: // A data centre is isolated.
        for (std::size_t index = any % 3; index < aFleet.Size(); index += 3) {
          aFleet.SetSide(index, 1);
        }
        break;
      case 4: // Two halves.
        for (std::size_t index = 0; index < aFleet.Size(); ++index) {
          aFleet.SetSide(index, static_cast<int>(mRandom() % 2));
        }
        break;
      case 5: // One instance is isolated.
        aFleet.SetSide(any, 2);
        break;
      case 9: // Several are, also from each other.
        for (std::size_t index = 0; index < aFleet.Size(); ++index) {
          if (mRandom() % 3 == 0) {
            aFleet.SetSide(index, 10 + static_cast<int>(index));
          }
        }
        break;
      case 6:
        for (std::size_t index = 0; index < aFleet.Size(); ++index) {
          aFleet.SetSide(index, 0);
        }
        break;
      case 7:
        aFleet.SetLimit({ mSettings.mLimit.mRatePerSecond / 8, 1 });
        break;
      case 8:
        aFleet.SetLimit(mSettings.mLimit);
        break;
      default: // Half of the fleet loses power.
        for (std::size_t index = 0; index < aFleet.Size(); ++index) {
          if (mRandom() % 2 == 0) {
            aFleet.Start(index);
          }
        }
        break;
    }
  }

  std::mt19937 mRandom;
  quota_fleet_settings mSettings;
};

/** @return Cases in which some window exceeded the bound, of a number. */
int
Violations(std::uint32_t aCases, const quota_fleet_settings& aMechanisms)
{
  int violations = 0;
  for (std::uint32_t seed = 0; seed < aCases; ++seed) {
    violations += failure_case(seed, aMechanisms).Run() > 0 ? 1 : 0;
  }
  return violations;
}

/** Admissions above the bound of the rule: unreported ones of isolated
 * instances, two issuers at once, and issuers that had lost their ledgers. */
TEST(quota_fleet, BoundHoldsInEveryWindow)
{
  double worst = -1e9;
  for (std::uint32_t seed = 0; seed < 2'000; ++seed) {
    const double excess = failure_case(seed, {}).Run();
    EXPECT_LE(excess, 0) << "seed " << seed;
    worst = std::max(worst, excess);
  }
  RecordProperty("worst_excess", std::to_string(worst));
}

/** Each mechanism is needed: without it, the bound does not hold. */
TEST(quota_fleet, BoundFailsWithoutTheRestrictedList)
{
  quota_fleet_settings mechanisms;
  mechanisms.mRestricts = false;
  EXPECT_GT(Violations(200, mechanisms), 0);
}

TEST(quota_fleet, BoundFailsIfEachSideOfAPartitionUsesTheWholeRate)
{
  quota_fleet_settings mechanisms;
  mechanisms.mSplitsRate = false;
  EXPECT_GT(Violations(200, mechanisms), 0);
}

/** A new issuer's notices opened the workspace at 89 instances before any
 * instance kept a ledger. */
TEST(quota_fleet, BoundHoldsAfterALossOfAllPower)
{
  for (std::uint32_t seed = 0; seed < 8; ++seed) {
    quota_fleet_settings settings;
    settings.mInstances = 89;
    settings.mLimit = { 20, 20 };
    simulated_quota_fleet fleet(settings, seed);
    const double hot = 8 * kUsual * settings.mLimit.mRatePerSecond;
    fleet.Run(seconds(5), hot);
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      fleet.Start(index);
    }
    fleet.Run(seconds(6), hot);
    EXPECT_LE(fleet.WorstExcess(), 0) << "seed " << seed;
  }
}

/** Sends requests that stay inside the workspace's own token bucket, also as
 * bursts, to a fleet without failures. */
class inside_case
{
public:
  explicit inside_case(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mSettings(RandomSettings(mRandom))
    , mFleet(WithoutLoss(mSettings), mRandom())
  {
  }

  const simulated_quota_fleet& Run()
  {
    mFleet.Run(milliseconds(4'000), 0);
    const quota_limit& limit = mSettings.mLimit;
    token_bucket bucket(limit.mBurst, mFleet.Now());
    std::exponential_distribution<double> gap(limit.mRatePerSecond *
                                              (0.3 + 0.7 * (mRandom() % 2)));
    for (int request = 0; request < 60; ++request) {
      mFleet.Run(std::chrono::duration_cast<model::duration>(
                   std::chrono::duration<double>(gap(mRandom))),
                 0);
      bucket.Advance(limit.mRatePerSecond, limit.mBurst, mFleet.Now());
      const bool isBurst = mRandom() % 20 == 0;
      do {
        if (bucket.Has(1)) {
          bucket.Take();
          mFleet.SendRequest();
        }
      } while (isBurst && bucket.Has(1));
    }
    mFleet.Run(milliseconds(200), 0);
    return mFleet;
  }

private:
  static quota_fleet_settings WithoutLoss(quota_fleet_settings& aSettings)
  {
    aSettings.mLoss = 0;
    return aSettings;
  }

  std::mt19937 mRandom;
  quota_fleet_settings mSettings;
  simulated_quota_fleet mFleet;
};

/** Requests within the quota that are refused count as lost. */
TEST(quota_fleet, NothingInsideTheQuotaIsRefusedWithoutFailures)
{
  std::size_t requests = 0;
  std::size_t delayed = 0;
  for (std::uint32_t seed = 0; seed < 1'000; ++seed) {
    inside_case each(seed);
    const simulated_quota_fleet& fleet = each.Run();
    EXPECT_EQ(fleet.Refusals(), 0U) << "seed " << seed;
    EXPECT_EQ(fleet.Admissions().size(), fleet.Requests()) << "seed " << seed;
    requests += fleet.Requests();
    delayed += fleet.Delayed();
  }
  // Bursts and loads of the whole rate keep some workspaces restricted.
  EXPECT_LE(static_cast<double>(delayed) / static_cast<double>(requests), 0.25);
  RecordProperty("delayed", std::to_string(delayed));
  RecordProperty("requests", std::to_string(requests));
}

/** The ticket agency's fleet and one of its largest workspaces, which sends
 * eight times its usual rate for six seconds. */
TEST(quota_fleet, HotWorkspaceGetsItsRateAndUsualOnesAreNotDelayed)
{
  quota_fleet_settings settings;
  settings.mInstances = 89;
  settings.mLimit = { 20, 20 };
  settings.mLoss = 0.001;
  simulated_quota_fleet fleet(settings, 1);
  const double usual = kUsual * settings.mLimit.mRatePerSecond;
  fleet.Run(seconds(4), usual);
  const std::size_t sentBefore = fleet.Requests();
  const std::size_t delayedBefore = fleet.Delayed();
  const std::size_t refusedBefore = fleet.Refusals();
  fleet.Run(seconds(10), usual);
  EXPECT_EQ(fleet.Refusals(), refusedBefore);
  EXPECT_LE(fleet.Delayed() - delayedBefore,
            (fleet.Requests() - sentBefore) / 50);
  // Admissions in each second of the surge and of the two seconds after it.
  std::vector<std::size_t> admitted;
  for (int second = 0; second < 8; ++second) {
    const std::size_t before = fleet.Admissions().size();
    fleet.Run(seconds(1), second < 6 ? 8 * usual : usual);
    admitted.push_back(fleet.Admissions().size() - before);
  }
  EXPECT_GE(admitted[0], 35U); // The burst and the rate.
  for (int second = 1; second < 6; ++second) {
    EXPECT_GE(admitted[second], 18U) << second;
    EXPECT_LE(admitted[second], 23U) << second;
  }
  EXPECT_LE(fleet.WorstExcess(), 0);
  for (const model::duration delay : fleet.RetryDelays()) {
    EXPECT_LE(delay, seconds(3));
  }
  const std::size_t refused = fleet.Refusals();
  fleet.Run(seconds(5), usual);
  EXPECT_EQ(fleet.Refusals(), refused);
}

/** The fleet is partitioned, by data centre or otherwise, just after the
 * largest workspace became hot: most instances admitted requests that no issuer
 * heard of, and each side went on with the whole rate. */
TEST(quota_fleet, BoundHoldsForTheLargeFleetInAPartition)
{
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    quota_fleet_settings settings;
    settings.mInstances = 89;
    settings.mLimit = { 25, 25 };
    settings.mLoss = 0.005;
    simulated_quota_fleet fleet(settings, seed);
    const double usual = kUsual * settings.mLimit.mRatePerSecond;
    fleet.Run(seconds(4), usual);
    fleet.Run(milliseconds(20 * seed), 8 * usual);
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      const bool isApart =
        seed % 2 == 0 ? index % 3 == seed % 3 : fleet.Random()() % 2 == 0;
      fleet.SetSide(index, isApart ? 1 : 0);
    }
    fleet.Run(seconds(7), 8 * usual);
    EXPECT_LE(fleet.WorstExcess(), 0) << "seed " << seed;
  }
}

/** Instances that are isolated from each other had an issuer's allowance each.
 */
TEST(quota_fleet, BoundHoldsForTheLargeFleetWithIsolatedInstances)
{
  for (std::uint32_t seed = 0; seed < 10; ++seed) {
    quota_fleet_settings settings;
    settings.mInstances = 89;
    const double rate = seed % 2 == 0 ? 25 : 2;
    settings.mLimit = { rate, rate };
    settings.mLoss = 0.005;
    simulated_quota_fleet fleet(settings, seed);
    fleet.Run(seconds(4), kUsual * rate);
    fleet.Run(milliseconds(30 * seed), 8 * kUsual * rate);
    for (std::size_t index = seed; index < 89; index += 89 / 15) {
      fleet.SetSide(index, 10 + static_cast<int>(index));
    }
    fleet.Run(seconds(12), 8 * kUsual * rate);
    EXPECT_LE(fleet.WorstExcess(), 0) << "seed " << seed;
  }
}

} // namespace
} // namespace monsooncroft::serving
