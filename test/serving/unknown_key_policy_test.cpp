/**
 * @file unknown_key_policy_test.cpp
 * Tests which requests with unknown keys wait, in virtual time.
 */
#include "serving/unknown_key_policy_base.h"

#include <gtest/gtest.h>

#include <string>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(1'000) };

workspace_keys::digest
Key(int aNumber)
{
  return workspace_keys::DigestOf(std::to_string(aNumber));
}

TEST(UnknownKeyPolicy, WaitsAreBounded)
{
  const unknown_key_policy policy;
  const auto wait = [&](milliseconds aRemaining, std::size_t aWaiting) {
    return policy.Decide(Key(1), aRemaining, aWaiting, kStart).mWaitsUntil -
           kStart;
  };
  EXPECT_EQ(wait(seconds(10), 0), milliseconds(250));
  EXPECT_EQ(wait(milliseconds(300), 0), milliseconds(100));
  EXPECT_EQ(wait(milliseconds(0), 0), milliseconds(0));
  EXPECT_EQ(wait(milliseconds(-5), 0), milliseconds(0));
  EXPECT_EQ(wait(seconds(10), 63), milliseconds(250));
  EXPECT_EQ(wait(seconds(10), 64), milliseconds(0));
}

/** Withdrawn keys, each sent every 50 ms for a minute by callers that do not
 * stop, and random ones. Each of their requests read the store. */
TEST(UnknownKeyPolicy, CallersThatGoOnWithWithdrawnKeysCauseFewReads)
{
  for (const bool random : { false, true }) {
    unknown_key_policy policy;
    int reads = 0;
    int waits = 0;
    int requests = 0;
    for (model::instant now = kStart; now < kStart + seconds(60);
         now += milliseconds(50)) {
      const auto key = Key(random ? requests : requests % 3);
      ++requests;
      const auto decision = policy.Decide(key, seconds(1), 0, now);
      waits += decision.mWaitsUntil > now ? 1 : 0;
      if (decision.mReads) {
        ++reads;
        policy.OnReadStarted(now);
        policy.OnConfirmed(now);
      }
      policy.OnRefused(key, now);
    }
    EXPECT_LE(reads, random ? 31 : 9);
    EXPECT_GE(reads, 5);
    // New keys always wait: one of them may be in the next configuration.
    EXPECT_EQ(waits == requests, random);
  }
}

TEST(UnknownKeyPolicy, ARefusedKeyWaitsAgainLaterOrWithAnotherConfiguration)
{
  unknown_key_policy policy;
  const auto waits = [&](model::instant aNow) {
    return policy.Decide(Key(1), seconds(1), 0, aNow).mWaitsUntil > aNow;
  };
  // Not confirmed as the newest: the key may be in a newer one.
  policy.OnRefused(Key(1), kStart);
  EXPECT_TRUE(waits(kStart));
  policy.OnConfirmed(kStart);
  policy.OnRefused(Key(1), kStart);
  EXPECT_FALSE(waits(kStart + seconds(1)));
  EXPECT_TRUE(waits(kStart + seconds(2)));
  policy.OnConfirmed(kStart + seconds(2));
  policy.OnRefused(Key(1), kStart + seconds(2));
  EXPECT_FALSE(waits(kStart + seconds(3)));
  policy.OnConfig();
  EXPECT_TRUE(waits(kStart + seconds(3)));
}

} // namespace
} // namespace monsooncroft::serving
