/**
 * @file gossip_update_test.cpp
 * Merging of gossip updates, and the time in which a drain mark reaches every
 * instance.
 */
#include "cluster/fake_network.h"
#include "cluster/message_codec_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace monsooncroft::test {

namespace {

constexpr std::uint64_t kSeed = 13;
const model::wall_instant kNow{ 1'000'000ms };

/**
 * Generates updates with few keys, versions and payloads, so that entries
 * collide.
 */
rc::Gen<cluster::gossip_update>
AnyUpdate()
{
  return rc::gen::map(
    rc::gen::tuple(
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)),
    [](const std::tuple<int, int, int>& aNumbers) {
      cluster::gossip_update made;
      made.mKey = { cluster::gossip_kind::Quarantine,
                    std::to_string(std::get<0>(aNumbers)) };
      made.mVersion = static_cast<std::uint64_t>(std::get<1>(aNumbers));
      made.mPayload = std::to_string(std::get<2>(aNumbers));
      made.mExpires = kNow + 10s;
      return made;
    });
}

RC_GTEST_PROP(GossipUpdates, MergeIsCommutativeAndIdempotent, ())
{
  auto entries =
    *rc::gen::container<std::vector<cluster::gossip_update>>(AnyUpdate());
  cluster::gossip_table forward(100);
  cluster::gossip_table backward(100);
  for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
    forward.Merge(*entry, kNow);
    forward.Merge(*entry, kNow);
  }
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    backward.Merge(*entry, kNow);
  }
  RC_ASSERT(forward.Digest() == backward.Digest());
  RC_ASSERT(forward.UpdatesOfKind(cluster::gossip_kind::Quarantine) ==
            backward.UpdatesOfKind(cluster::gossip_kind::Quarantine));
}

TEST(GossipUpdates, TableIsBoundedAndExpires)
{
  cluster::gossip_table table(10);
  for (int number = 0; number < 50; ++number) {
    cluster::gossip_update entry;
    entry.mKey = { cluster::gossip_kind::Load, std::to_string(number) };
    entry.mExpires = kNow + 1s * (number + 1);
    table.Merge(entry, kNow);
  }
  EXPECT_EQ(table.Count(), 10U);
  table.Expire(kNow + 60s);
  EXPECT_EQ(table.Count(), 0U);
  EXPECT_EQ(table.Digest(), cluster::gossip_table(10).Digest());
}

TEST(GossipUpdates, MalformedDatagramsAreDropped)
{
  cluster::message message;
  message.mType = cluster::message_type::Digest;
  message.mSender.mId = model::instance_id("a");
  message.mDigest.mMembers = { { 1, 2 } };
  message.mItems = { cluster::EncodeItem(message.mSender) };
  const auto bytes = cluster::EncodeMessage(message);
  EXPECT_EQ(cluster::DecodeMessage(bytes), message);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(cluster::DecodeMessage(bytes.substr(0, length)));
  }
}

class drain_marks : public testing::TestWithParam<std::tuple<int, int, double>>
{};

TEST_P(drain_marks, ReachEveryoneWithinTwoSeconds)
{
  const auto [dataCentres, each, loss] = GetParam();
  fake_network network(kSeed);
  network.AddMany(dataCentres, each);
  network.Run(10s);
  network.mLoss = loss;
  auto& origin = network.mInstances.at("dc0-0");
  const auto mark = cluster::ToGossipUpdate(
    { model::leaf_id("leaf-1"), cluster::drain_signal::OwnReply },
    network.Now().mWall,
    60s);
  network.Execute(origin, origin.mCore->Publish(mark, network.Now()));
  const auto took = network.RunUntil(
    [&] {
      for (const auto& [id, instance] : network.mInstances) {
        if (instance.mCore->GossipUpdates().Find(mark.mKey) == nullptr) {
          return false;
        }
      }
      return true;
    },
    30s);
  RecordProperty("took_ms", static_cast<int>(took.count()));
  EXPECT_LE(took, 2s);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         drain_marks,
                         testing::Values(std::tuple(3, 3, 0.0),
                                         std::tuple(3, 3, 0.2),
                                         std::tuple(3, 10, 0.05),
                                         std::tuple(4, 25, 0.05),
                                         std::tuple(28, 4, 0.05),
                                         std::tuple(1, 164, 0.05)));

} // namespace

} // namespace monsooncroft::test
