/**
 * @file pulled_text_test.cpp
 * Guards against a malformed reply to a pull_chunk call that is taken for a
 * text.
 */
#include "cluster/message_codec_func.h"

#include <gtest/gtest.h>

namespace monsooncroft::cluster {
namespace {

TEST(pulled_text, malformed_replies_hold_no_text)
{
  for (const char* reply : { "",
                             "[]",
                             "{}",
                             R"({"found":1,"text":"a"})",
                             R"({"found":"yes","text":"a"})",
                             R"({"found":true})",
                             R"({"found":true,"text":7})",
                             R"({"found":false,"text":"a"})" }) {
    EXPECT_FALSE(ParsePulledText(reply)) << reply;
  }
  EXPECT_EQ(ParsePulledText(R"({"found":true,"text":"a"})"), "a");
}

} // namespace
} // namespace monsooncroft::cluster
