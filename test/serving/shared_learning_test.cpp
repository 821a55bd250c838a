/**
 * @file shared_learning_test.cpp
 * Instances that receive less than one request per second each, in virtual
 * time: what one instance observes of a leaf must reach the others.
 */
#include "serving/leaf_health_base.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 28; ///< All in one data centre.
constexpr std::size_t kReplicas = 3;   ///< Only the first in that data centre.
constexpr std::size_t kRequestsPerSecond = 17; ///< Of all instances together.
constexpr milliseconds kMeanServiceTime{ 8 };
constexpr milliseconds kRoundTripBetweenDataCentres{ 3 };
constexpr milliseconds kGossipDelay{ 50 };

/** Fault of the replica in the instances' data centre. */
struct fault
{
  milliseconds mServiceTime{ 8 };
  double mErrorRate = 0; ///< Share of its requests that it rejects.
};

/** Share of the requests of ten seconds that the fault affects.
 * @param aShared Whether instances send their observations to each other. */
double
AffectedShare(const fault& aFault, bool aShared)
{
  struct observation
  {
    model::instant mAt;
    std::size_t mInstance;
    std::size_t mLeaf;
    std::optional<model::duration> mExcess; ///< Nothing for an error.
  };
  std::array<std::array<leaf_health, kReplicas>, kInstances> health;
  std::vector<observation> observations;
  std::mt19937 random(7);
  model::instant now{ seconds(100) };
  for (auto& own : health) {
    for (std::size_t leaf = 0; leaf < kReplicas; ++leaf) {
      own[leaf].OnConnected(
        leaf == 0 ? milliseconds(1) : kRoundTripBetweenDataCentres, now);
      own[leaf].SetInOtherDataCentre(leaf != 0);
    }
  }
  int affected = 0;
  constexpr int kRequests = kRequestsPerSecond * 10;
  for (int request = 0; request < kRequests; ++request) {
    now += model::duration(seconds(1)) / kRequestsPerSecond;
    std::erase_if(observations, [&](const observation& aObservation) {
      if (aObservation.mAt + kGossipDelay > now) {
        return false;
      }
      for (std::size_t other = 0; other < kInstances && aShared; ++other) {
        if (other == aObservation.mInstance) {
          continue;
        }
        leaf_health& leaf = health[other][aObservation.mLeaf];
        if (aObservation.mExcess) {
          leaf.OnPeerLatency(*aObservation.mExcess, aObservation.mAt);
        } else {
          leaf.OnPeerError(aObservation.mAt);
        }
      }
      return true;
    });
    const std::size_t instance = random() % kInstances;
    auto& own = health[instance];
    const auto leaf =
      *ChooseReplica({ own.data(), own.data() + 1, own.data() + 2 },
                     kMeanServiceTime,
                     random(),
                     now);
    const bool faulty = leaf == 0;
    const bool rejected = faulty && static_cast<double>(random() % 1'000) <
                                      1'000 * aFault.mErrorRate;
    const auto serviceTime = faulty ? aFault.mServiceTime : kMeanServiceTime;
    affected += rejected || serviceTime > 2 * kMeanServiceTime ? 1 : 0;
    const model::instant end = now + own[leaf].RoundTrip() + serviceTime;
    own[leaf].OnAttemptSent(now);
    if (rejected) {
      own[leaf].OnError(now, end);
      observations.push_back({ end, instance, leaf, std::nullopt });
      continue;
    }
    const auto known = own[leaf].ExcessLatency(end);
    const auto excess =
      own[leaf].OnAnswer(now, serviceTime, kMeanServiceTime, end);
    if (excess > kMeanServiceTime || known - excess > kMeanServiceTime) {
      observations.push_back({ end, instance, leaf, excess });
    }
  }
  return static_cast<double>(affected) / kRequests;
}

TEST(SharedLearning, ASlowLeafIsAvoidedByAllInstancesSoonAfterOneObservesIt)
{
  const fault slow{ milliseconds(70), 0 };
  EXPECT_GT(AffectedShare(slow, false), 0.6);
  EXPECT_LT(AffectedShare(slow, true), 0.2);
}

TEST(SharedLearning, ALeafThatRejectsMostRequestsIsAvoidedByAllInstances)
{
  const fault rejecting{ kMeanServiceTime, 0.6 };
  EXPECT_GT(AffectedShare(rejecting, false), 0.25);
  EXPECT_LT(AffectedShare(rejecting, true), 0.1);
}

/** Errors raise the cost of a leaf in the choice of a replica, but not its
 * expected latency, by which a fan-out omits late shards. */
TEST(SharedLearning, ErrorsDoNotRaiseTheExpectedLatency)
{
  leaf_health leaf;
  const model::instant now{ seconds(100) };
  leaf.OnConnected(milliseconds(1), now);
  for (int error = 0; error < 5; ++error) {
    leaf.OnAttemptSent(now);
    leaf.OnError(now, now);
  }
  EXPECT_GT(leaf.ExpectedErrorCost(now), milliseconds(80));
  EXPECT_LT(leaf.ExpectedLatency(kMeanServiceTime, now), milliseconds(10));
  EXPECT_LT(leaf.ExpectedErrorCost(now + seconds(8)), milliseconds(1));
}

/** The first connections of many instances wait for the leaf's slots, so their
 * measured round trip is too long. */
TEST(SharedLearning, AnAnswerBoundsTheRoundTrip)
{
  leaf_health leaf;
  const model::instant now{ seconds(100) };
  leaf.OnConnected(milliseconds(40), now);
  leaf.OnAttemptSent(now);
  static_cast<void>(leaf.OnAnswer(now,
                                  milliseconds(11) - leaf.RoundTrip(),
                                  kMeanServiceTime,
                                  now + milliseconds(11)));
  EXPECT_LE(leaf.RoundTrip(), milliseconds(11));
}

} // namespace
} // namespace monsooncroft::serving
