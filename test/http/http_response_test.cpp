/**
 * @file http_response_test.cpp
 * Responses that the reader must reject, and unusual ones that it must accept,
 * in one piece and byte by byte.
 */
#include "http/http_reader_base.h"

#include "support/answer_cases.h"

#include <gtest/gtest.h>

namespace monsooncroft::http {
namespace {

using state = http::http_reader::state;
using test_support::answer_case;
using test_support::broken_part;

/** Feeds pieces of a response, and its end; skips interim responses. */
void
Read(http_reader& aReader, std::string_view aBytes, std::size_t aPieceBytes)
{
  while (!aBytes.empty()) {
    const std::size_t consumed = aReader.Feed(aBytes.substr(0, aPieceBytes));
    aBytes.remove_prefix(consumed);
    if (aReader.State() == state::Complete &&
        aReader.Message().mStatus / 100 == 1) {
      aReader.NextMessage();
    } else if (aReader.State() >= state::Complete) {
      return;
    }
  }
  aReader.FeedEof();
}

class broken_responses : public testing::TestWithParam<broken_part>
{};

TEST_P(broken_responses, AreRejected)
{
  for (const answer_case& each : GetParam().mMake("Id: r\r\n")) {
    for (const std::size_t pieceBytes : { each.mText.size(), std::size_t(1) }) {
      http::http_reader reader(http::http_reader::role::Responses);
      Read(reader, each.mText, pieceBytes);
      EXPECT_GE(reader.State(), state::Malformed) << each.mName;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(parts,
                         broken_responses,
                         testing::ValuesIn(test_support::BrokenParts()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

TEST(HttpResponse, UnusualFormsAreAccepted)
{
  for (const answer_case& each : test_support::UnusualAnswers("Id: r\r\n")) {
    for (const std::size_t pieceBytes : { each.mText.size(), std::size_t(1) }) {
      http::http_reader reader(http::http_reader::role::Responses);
      Read(reader, each.mText, pieceBytes);
      EXPECT_EQ(reader.State(), state::Complete) << each.mName;
      EXPECT_EQ(reader.Message().mBody, "x") << each.mName;
      const std::string* id = reader.Message().Find("Id");
      EXPECT_TRUE(id != nullptr && *id == "r") << each.mName;
    }
  }
}

/** A client would take the value with its blanks for another one. */
TEST(HttpResponse, ValuesAreReadWithoutTheBlanksAroundThem)
{
  http::http_reader reader(http::http_reader::role::Responses);
  reader.Feed("HTTP/1.1 200 OK\r\nId: \t r s \t\r\nEmpty: \t \r\n"
              "Content-Length: 0\r\n\r\n");
  ASSERT_EQ(reader.State(), state::Complete);
  EXPECT_EQ(*reader.Message().Find("Id"), "r s");
  EXPECT_EQ(*reader.Message().Find("Empty"), "");
}

/** Fields behind the body counted as fields of the head, such as one by which a
 * leaf says that it has not run the request. */
TEST(HttpResponse, TrailersAreNoFieldsOfTheHead)
{
  http::http_reader reader(http::http_reader::role::Responses);
  reader.Feed("HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\nx\r\n0\r\nX-Not: 1\r\nA: c\r\n\r\n");
  ASSERT_EQ(reader.State(), state::Complete);
  EXPECT_EQ(reader.Message().Find("X-Not"), nullptr);
  EXPECT_EQ(reader.Message().mFields.size(), 2U);
}

/** The reader waited for a body that never comes. */
TEST(HttpResponse, SomeStatusesHaveNoBodyWhateverTheLength)
{
  for (const char* status : { "103", "204", "304" }) {
    http::http_reader reader(http::http_reader::role::Responses);
    const std::string text = std::string("HTTP/1.1 ") + status +
                             " Status\r\nContent-Length: 5\r\n\r\n";
    EXPECT_EQ(reader.Feed(text + "HTTP/"), text.size()) << status;
    EXPECT_EQ(reader.State(), state::Complete) << status;
  }
}

} // namespace
} // namespace monsooncroft::http
