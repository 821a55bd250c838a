/**
 * @file coverage_test.cpp
 * Guards against coverage that counts a name although one of its shards did not
 * answer, and against endpoints with names or invalid numbers.
 */
#include "model/coverage_type.h"

#include <gtest/gtest.h>

namespace monsooncroft::model {
namespace {

shard
Shard(const char* aName, std::vector<coverage_name> aCovers)
{
  return shard{ shard_id(aName), std::move(aCovers), {} };
}

TEST(coverage, name_over_two_shards_needs_both)
{
  service routes;
  routes.mShards = {
    Shard("s1", { coverage_name("harbour") }),
    Shard("s2", { coverage_name("harbour"), coverage_name("market") }),
    Shard("s3", { coverage_name("old town") })
  };
  const coverage part =
    coverage::Compute(routes, { shard_id("s1"), shard_id("s3") });
  EXPECT_EQ(part.mTotal, 3);
  EXPECT_EQ(part.mAnswered, 1);
  EXPECT_EQ(part.mMissing,
            (std::vector{ coverage_name("harbour"), coverage_name("market") }));
}

TEST(coverage, endpoint_parses_only_numeric_addresses)
{
  EXPECT_EQ(endpoint::Parse("127.0.0.1:80"), (endpoint{ "127.0.0.1", 80 }));
  EXPECT_FALSE(endpoint::Parse("localhost:80"));
  EXPECT_FALSE(endpoint::Parse("127.0.0.1:0"));
  EXPECT_FALSE(endpoint::Parse("127.0.0.1:65536"));
  EXPECT_FALSE(endpoint::Parse("127.0.0.256:1"));
  EXPECT_FALSE(endpoint::Parse("127.0.0.1"));
}

} // namespace
} // namespace monsooncroft::model
