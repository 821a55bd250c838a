/**
 * @file hedge_rule_test.cpp
 * Guards against requests that get no answer at all because the replicas that
 * are left are slower than usual, although they would answer long before the
 * deadline.
 */
#include "serving/hedge_rule_func.h"

#include "serving/answer_rule_func.h"

#include <gtest/gtest.h>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(100) };
constexpr milliseconds kUsual{ 15 };

answer_requirements
Requirements()
{
  answer_requirements requirements;
  requirements.mTotalShards = 135;
  requirements.mRequiredShards = 115;
  requirements.mPartialAnswerAt = kStart + milliseconds(50);
  requirements.mDeadline = kStart + milliseconds(1'000);
  return requirements;
}

TEST(HedgeRule, AnAnswerByTheTargetIsUseful)
{
  const model::instant now = kStart + milliseconds(20);
  EXPECT_TRUE(HedgeIsUseful(Requirements(), milliseconds(30), kUsual, now));
  EXPECT_FALSE(HedgeIsUseful(Requirements(), milliseconds(31), kUsual, now));
}

/** After the index is cut anew, all leaves are cold and a part of them does not
 * respond: the fan-out lacks shards when its target latency has passed. */
TEST(HedgeRule, ALateAnswerIsUsefulWhileShardsAreLacking)
{
  const model::instant now = kStart + milliseconds(60);
  EXPECT_TRUE(HedgeIsUseful(Requirements(), milliseconds(320), kUsual, now));
  EXPECT_FALSE(HedgeIsUseful(Requirements(), milliseconds(941), kUsual, now));
}

TEST(HedgeRule, AnAnswerWithinTheUsualTimeIsUseful)
{
  const model::instant now = kStart + milliseconds(49);
  EXPECT_TRUE(HedgeIsUseful(Requirements(), kUsual, kUsual, now));
  EXPECT_FALSE(HedgeIsUseful(Requirements(), milliseconds(16), kUsual, now));
}

} // namespace
} // namespace monsooncroft::serving
