/**
 * @file connection_share_test.cpp
 * Guards against owners and former owners together exceeding a leaf's
 * connection limit: during a hand-over both hold connections.
 */
#include "policy/connection_share_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace monsooncroft::policy {
namespace {

RC_GTEST_PROP(connection_share, hand_over_stays_within_the_limit, ())
{
  const int limit = *rc::gen::inRange(1, 200);
  const int owners = *rc::gen::inRange(1, 60);
  const connection_share share = ComputeConnectionShare(limit, owners);
  const int replaced =
    *rc::gen::inRange(0, ReplaceableOwners(limit, owners) + 1);
  // Former owners may still hold all their connections.
  const int kept = owners - replaced;
  const int total =
    kept * share.mSteady + replaced * (share.mSteady + share.mNewOwner);
  RC_ASSERT(total <= limit);
  RC_ASSERT(owners > limit || share.mSteady >= 1);
}

TEST(connection_share, shares_of_given_limits)
{
  EXPECT_EQ(ComputeConnectionShare(25, 2), (connection_share{ 8, 4 }));
  EXPECT_EQ(ReplaceableOwners(25, 2), 2);
  EXPECT_EQ(ComputeConnectionShare(25, 9), (connection_share{ 2, 1 }));
  EXPECT_EQ(ReplaceableOwners(25, 9), 7);
  EXPECT_EQ(ComputeConnectionShare(110, 9), (connection_share{ 11, 1 }));
  EXPECT_EQ(ComputeConnectionShare(25, 26), (connection_share{ 0, 0 }));
}

} // namespace
} // namespace monsooncroft::policy
