/**
 * @file http_reader_test.cpp
 * Parsing of HTTP in arbitrary pieces, the request to leaves, and the stop
 * sequence.
 */
#include "gateway/header_names_type.h"
#include "gateway/http_reader_base.h"
#include "gateway/request_head_func.h"
#include "gateway/stop_sequence_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::gateway {
namespace {

using state = http_reader::state;
using role = http_reader::role;

/** Feeds byte by byte until a message is complete or malformed. */
std::size_t
FeedByteByByte(http_reader& aReader, std::string_view aBytes)
{
  std::size_t consumed = 0;
  while (consumed < aBytes.size() && aReader.State() < state::Complete) {
    consumed += aReader.Feed(aBytes.substr(consumed, 1));
  }
  return consumed;
}

TEST(HttpReader, PipelinedRequestsInPieces)
{
  const std::string first =
    "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
  const std::string second =
    "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  http_reader reader(role::Requests);
  const std::string both = first + second;
  const std::size_t consumed = FeedByteByByte(reader, both);
  EXPECT_EQ(consumed, first.size());
  EXPECT_EQ(reader.Message().mTarget, "/a?b=c");
  EXPECT_EQ(reader.Message().mBody, "xyz");
  EXPECT_TRUE(reader.Message().mKeepAlive);
  reader.NextMessage();
  EXPECT_EQ(reader.Feed(both.substr(consumed)), second.size());
  EXPECT_EQ(reader.State(), state::Complete);
  EXPECT_EQ(reader.Message().mBody, "abc");
}

TEST(HttpReader, LimitsAndMalformedInput)
{
  http_reader head(role::Requests);
  head.SetLimits(50, 10);
  head.Feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n");
  EXPECT_EQ(head.State(), state::HeadTooLarge);
  http_reader body(role::Requests);
  body.SetLimits(500, 10);
  body.Feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  EXPECT_EQ(body.State(), state::BodyTooLarge);
  http_reader chunked(role::Requests);
  chunked.SetLimits(500, 10);
  chunked.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "b\r\n01234567890\r\n");
  EXPECT_EQ(chunked.State(), state::BodyTooLarge);
  http_reader malformed(role::Requests);
  malformed.Feed("\x16\x03\x01 hello");
  EXPECT_EQ(malformed.State(), state::Malformed);
}

TEST(HttpReader, ConflictingLengthsAreRefused)
{
  for (const char* text :
       { "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
         "4\r\n\r\nabcd",
         "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n" }) {
    http_reader reader(role::Requests);
    reader.Feed(text);
    EXPECT_EQ(reader.State(), state::Malformed) << text;
  }
}

TEST(HttpReader, ResponseWithoutALengthEndsWithItsStream)
{
  http_reader reader(role::Responses);
  reader.Feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\npart");
  EXPECT_EQ(reader.State(), state::Body);
  reader.FeedEof();
  EXPECT_EQ(reader.State(), state::Complete);
  EXPECT_EQ(reader.Message().mBody, "part");
  EXPECT_TRUE(reader.Message().mCloseDelimited);
}

TEST(HttpReader, TruncatedResponseIsIncomplete)
{
  http_reader reader(role::Responses);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
  reader.FeedEof();
  EXPECT_NE(reader.State(), state::Complete);
}

/** The reader of a channel to the store is used again after an answer that is
 * no HTTP: the library ended the process (an assertion). */
TEST(HttpReader, IsUsableAfterMalformedInput)
{
  http_reader reader(http_reader::role::Responses);
  reader.Feed("no answer\r\n\r\n");
  EXPECT_EQ(reader.State(), http_reader::state::Malformed);
  reader.NextMessage();
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  EXPECT_EQ(reader.State(), http_reader::state::Complete);
  EXPECT_EQ(reader.Message().mBody, "x");
}

TEST(HttpReader, ExtraResponseIsNotConsumed)
{
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  http_reader reader(role::Responses);
  EXPECT_EQ(reader.Feed(one + one), one.size());
  EXPECT_EQ(reader.State(), state::Complete);
}

const header_names kNames{ "X-Id",  "X-Left", "X-Sig",    "X-Expect",
                           "X-Not", "X-Sigs", "X-Missing" };

TEST(LeafRequest, OmitsHopByHopAndPerAttemptFields)
{
  http_message request;
  request.mMethod = "POST";
  request.mTarget = "/a?b";
  request.mBody = "body";
  request.mFields = { { "Host", "h" },
                      { "X-Id", "1" },
                      { "Connection", "close, X-Mine" },
                      { "X-Mine", "m" },
                      { "Keep-Alive", "5" },
                      { "X-Left", "100" },
                      { "X-Expect", "other" },
                      { "Transfer-Encoding", "chunked" },
                      { "Accept", "a" } };
  const auto text =
    MakeLeafRequest(request, kNames, "1", { serving::repeatability::RunOnce });
  EXPECT_EQ(text->mHead,
            "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nAccept: a\r\n"
            "Content-Length: 4\r\n");
  EXPECT_EQ(text->mBody, "body");
}

TEST(LeafRequest, SecondsHaveAFraction)
{
  EXPECT_EQ(FormatSeconds(std::chrono::milliseconds(120)), "0.120");
  EXPECT_EQ(FormatSeconds(std::chrono::milliseconds(2'005)), "2.005");
}

TEST(StopSequence, ServesUntilTheBalancerHasReactedAndExitsInTime)
{
  using step = stop_sequence::step;
  const model::instant startedAt{ std::chrono::seconds(100) };
  const stop_sequence stop(startedAt, std::chrono::seconds(6));
  const auto at = [&](int aMs) {
    return startedAt + std::chrono::milliseconds(aMs);
  };
  EXPECT_EQ(stop.CurrentStep(0, at(0)), step::Serve);
  // The balancer redirects callers after two failed checks, a second apart.
  EXPECT_EQ(stop.CurrentStep(0, at(2'000)), step::Serve);
  EXPECT_EQ(stop.CurrentStep(3, at(3'000)), step::CloseIdle);
  EXPECT_EQ(stop.CurrentStep(0, at(3'000)), step::Exit);
  // Callers need time for another instance, and answers to be delivered.
  EXPECT_EQ(stop.CurrentStep(3, at(4'999)), step::CloseIdle);
  EXPECT_EQ(stop.CurrentStep(3, at(5'000)), step::RefuseUnsent);
  EXPECT_EQ(stop.CurrentStep(3, at(5'500)), step::AnswerAll);
  EXPECT_EQ(stop.CurrentStep(0, at(5'500)), step::Exit);
  EXPECT_EQ(stop.CurrentStep(3, at(5'999)), step::Exit);
}

} // namespace
} // namespace monsooncroft::gateway
