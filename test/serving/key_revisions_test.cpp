/**
 * @file key_revisions_test.cpp
 * Revisions of ranges of keys, against a list with one entry for each key.
 */
#include "serving/key_revisions_type.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

namespace monsooncroft::serving {
namespace {

constexpr std::size_t kKeys = 20;

std::string
Key(std::size_t aIndex)
{
  return { static_cast<char>('a' + aIndex) };
}

/** Guards against a page that counts for keys outside its range. */
TEST(KeyRevisions, EachKeyHasTheHighestRevisionOfItsRanges)
{
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    std::array<key_revisions, 2> revisions{ key_revisions(3),
                                            key_revisions(3) };
    std::array<std::array<std::uint64_t, kKeys>, 2> expected{};
    for (auto& keys : expected) {
      keys.fill(3);
    }
    for (int step = 0; step < 12; ++step) {
      const std::size_t which = random() % 2;
      const std::size_t first = random() % kKeys;
      const std::size_t last = first + random() % (kKeys - first);
      const std::uint64_t revision = random() % 9;
      revisions[which].Raise(first == 0 ? "" : Key(first - 1),
                             last + 1 == kKeys ? std::nullopt
                                               : std::optional(Key(last)),
                             revision);
      for (std::size_t key = first; key <= last; ++key) {
        expected[which][key] = std::max(expected[which][key], revision);
      }
    }
    for (std::size_t key = 0; key < kKeys; ++key) {
      EXPECT_EQ(revisions[0].At(Key(key)), expected[0][key]) << seed;
    }
    EXPECT_EQ(revisions[0].Least(),
              *std::min_element(expected[0].begin(), expected[0].end()));
    EXPECT_EQ(revisions[0].Greatest(),
              *std::max_element(expected[0].begin(), expected[0].end()));
    bool anyBelow = false;
    bool allBelow = true;
    for (std::size_t key = 0; key < kKeys; ++key) {
      anyBelow = anyBelow || expected[0][key] < expected[1][key];
      allBelow = allBelow && expected[0][key] < expected[1][key];
    }
    EXPECT_EQ(revisions[0].AnyBelow(revisions[1]), anyBelow) << seed;
    EXPECT_EQ(revisions[0].AllBelow(revisions[1]), allBelow) << seed;
    key_revisions merged = revisions[0];
    merged.Raise(revisions[1]);
    for (std::size_t key = 0; key < kKeys; ++key) {
      EXPECT_EQ(merged.At(Key(key)),
                std::max(expected[0][key], expected[1][key]))
        << seed;
    }
  }
}

} // namespace
} // namespace monsooncroft::serving
