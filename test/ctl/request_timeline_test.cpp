/**
 * @file request_timeline_test.cpp
 * Builds a request's timeline from the logs of several instances.
 */
#include "ctl/request_timeline_func.h"

#include <gtest/gtest.h>

#include <sstream>

namespace monsooncroft::ctl {
namespace {

TEST(RequestTimeline, SelectsInstanceStateAndTheRequestInOrderOfTime)
{
  std::istringstream logs(R"(
 1.5 a {"time_ms":900,"instance":"a","event":"leaf_connection_ended","leaf":"l1","reason":"reset"}
{"time_ms":1000,"level":"info","instance":"a","event":"request","request":"r1","outcome":"partial","missing":"s1:l1 s2"}
{"time_ms":100,"instance":"a","event":"config_in_force","version":3}
{"time_ms":500,"instance":"a","event":"config_in_force","version":4}
{"time_ms":600,"instance":"b","event":"config_in_force","version":9}
{"time_ms":700,"instance":"a","event":"leaf_connection_ended","leaf":"l2","reason":"idle"}
{"time_ms":2000,"instance":"b","event":"request","request":"r2"}
)");
  const request_timeline timeline = FormatTimeline(logs, "r1");
  EXPECT_TRUE(timeline.mRequestFound);
  EXPECT_EQ(timeline.mLines,
            (std::vector<std::string>{
              "500 a config_in_force version=4",
              "900 a leaf_connection_ended leaf=l1 reason=reset",
              "1000 a request request=r1 outcome=partial missing=s1:l1 s2" }));
}

TEST(RequestTimeline, CountsUnreadableLinesAndReportsAnUnknownRequest)
{
  std::istringstream logs("no json\n{\"half\":\n[1]\n{\"event\":\"x\"}\n");
  const request_timeline timeline = FormatTimeline(logs, "r1");
  EXPECT_FALSE(timeline.mRequestFound);
  EXPECT_TRUE(timeline.mLines.empty());
  EXPECT_EQ(timeline.mLinesRead, 4U);
  EXPECT_EQ(timeline.mUnreadableLines, 3U);
}

} // namespace
} // namespace monsooncroft::ctl
