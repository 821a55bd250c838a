/**
 * @file shared_learning_test.cpp
 * Instances that see less than one request a second each, in virtual time:
 * what one learns of a leaf has to reach the others.
 */
#include "serving/leaf_health_base.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 28; ///< Of one data centre.
constexpr std::size_t kReplicas = 3;   ///< The first in that data centre.
constexpr std::size_t kPerSecond = 17; ///< Requests of all instances.
constexpr milliseconds kWork{ 8 };
constexpr milliseconds kWayElsewhere{ 3 };
constexpr milliseconds kToldAfter{ 50 };

/** What is wrong with the near replica. */
struct trouble
{
  milliseconds mWork{ 8 };
  double mRefused = 0; ///< Share of its requests.
};

/** Of the requests of ten seconds, the share that met the trouble. */
double
ShareThatMetIt(const trouble& aTrouble, bool aTold)
{
  struct told
  {
    model::instant mAt;
    std::size_t mBy;
    std::size_t mLeaf;
    std::optional<model::duration> mExcess; ///< Nothing: of no use.
  };
  std::array<std::array<leaf_health, kReplicas>, kInstances> loads;
  std::vector<told> news;
  std::mt19937 random(7);
  model::instant now{ seconds(100) };
  for (auto& own : loads) {
    for (std::size_t leaf = 0; leaf < kReplicas; ++leaf) {
      own[leaf].OnConnected(leaf == 0 ? milliseconds(1) : kWayElsewhere, now);
      own[leaf].SetInOtherDataCentre(leaf != 0);
    }
  }
  int met = 0;
  constexpr int kRequests = kPerSecond * 10;
  for (int request = 0; request < kRequests; ++request) {
    now += model::duration(seconds(1)) / kPerSecond;
    std::erase_if(news, [&](const told& aNews) {
      if (aNews.mAt + kToldAfter > now) {
        return false;
      }
      for (std::size_t other = 0; other < kInstances && aTold; ++other) {
        if (other == aNews.mBy) {
          continue;
        }
        leaf_health& load = loads[other][aNews.mLeaf];
        if (aNews.mExcess) {
          load.OnPeerLatency(*aNews.mExcess, aNews.mAt);
        } else {
          load.OnPeerError(aNews.mAt);
        }
      }
      return true;
    });
    const std::size_t by = random() % kInstances;
    auto& own = loads[by];
    const auto leaf = *ChooseReplica(
      { own.data(), own.data() + 1, own.data() + 2 }, kWork, random(), now);
    const bool near = leaf == 0;
    const bool refused =
      near && static_cast<double>(random() % 1'000) < 1'000 * aTrouble.mRefused;
    const auto work = near ? aTrouble.mWork : kWork;
    met += refused || work > 2 * kWork ? 1 : 0;
    const model::instant end = now + own[leaf].RoundTrip() + work;
    own[leaf].OnAttemptSent(now);
    if (refused) {
      own[leaf].OnError(now, end);
      news.push_back({ end, by, leaf, std::nullopt });
      continue;
    }
    const auto known = own[leaf].ExcessLatency(end);
    const auto excess = own[leaf].OnAnswer(now, work, kWork, end);
    if (excess > kWork || known - excess > kWork) {
      news.push_back({ end, by, leaf, excess });
    }
  }
  return static_cast<double>(met) / kRequests;
}

TEST(SharedLearning, ASlowLeafIsAvoidedByAllSoonAfterOneHasSeenIt)
{
  const trouble slow{ milliseconds(70), 0 };
  EXPECT_GT(ShareThatMetIt(slow, false), 0.6);
  EXPECT_LT(ShareThatMetIt(slow, true), 0.2);
}

TEST(SharedLearning, ALeafThatRefusesMostOfItsWorkIsAvoidedByAll)
{
  const trouble refusing{ kWork, 0.6 };
  EXPECT_GT(ShareThatMetIt(refusing, false), 0.25);
  EXPECT_LT(ShareThatMetIt(refusing, true), 0.1);
}

TEST(SharedLearning, ARefusalMakesNoShardLate)
{
  leaf_health leaf;
  const model::instant now{ seconds(100) };
  leaf.OnConnected(milliseconds(1), now);
  for (int refusal = 0; refusal < 5; ++refusal) {
    leaf.OnAttemptSent(now);
    leaf.OnError(now, now);
  }
  EXPECT_GT(leaf.ExpectedErrorCost(now), milliseconds(80));
  EXPECT_LT(leaf.ExpectedLatency(kWork, now), milliseconds(10));
  EXPECT_LT(leaf.ExpectedErrorCost(now + seconds(8)), milliseconds(1));
}

/** The first connections of many instances wait for the leaf's slots. */
TEST(SharedLearning, AnAnswerBoundsTheWayThere)
{
  leaf_health leaf;
  const model::instant now{ seconds(100) };
  leaf.OnConnected(milliseconds(40), now);
  leaf.OnAttemptSent(now);
  static_cast<void>(leaf.OnAnswer(
    now, milliseconds(11) - leaf.RoundTrip(), kWork, now + milliseconds(11)));
  EXPECT_LE(leaf.RoundTrip(), milliseconds(11));
}

} // namespace
} // namespace monsooncroft::serving
