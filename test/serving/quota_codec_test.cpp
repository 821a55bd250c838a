/**
 * @file quota_codec_test.cpp
 * Messages about quotas between instances.
 */
#include "serving/fleet_codec_func.h"
#include "serving/fleet_extensions.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>

namespace monsooncroft::serving {
namespace {

using json = nlohmann::json;

fleet_message
FullMessage()
{
  fleet_message message;
  message.mMembers.resize(1);
  message.mMembers.front().mName = "front-klang-17";
  message.mMembers.front().mDataCentre = "klang";
  message.mMembers.front().mPeerEndpoint = { "10.11.12.13", 7260 };
  message.mMembers.front().mIncarnation = 1'777'319'276'428;
  quota_request request;
  request.mId = 1'777'319'276'428'123;
  request.mGroup = 1;
  request.mWantsReply = true;
  request.mItems = { { 0xfedcba9876543211U, 70'000, 2, 1, { 1.25, 2 } } };
  quota_reply reply;
  reply.mId = 5;
  reply.mGroup = 1;
  reply.mDecides = true;
  reply.mIsFinal = false;
  reply.mDecisions = { { 0xfedcba9876543211U,
                         1,
                         true,
                         -2.5,
                         std::chrono::milliseconds(320),
                         std::chrono::milliseconds(800) } };
  message.mQuota.mRequests = { request };
  message.mQuota.mReplies = { reply };
  message.mQuota.mNotices = { { 0, 7, true, { 2, 4, 0xfedcba9876543210U } } };
  message.mQuota.mSilentGroups = { 1 };
  return message;
}

/** Encodes a message whose quota part is replaced. */
std::string
WithPart(const json& aPart)
{
  fleet_message message = FullMessage();
  message.mQuota = {};
  message.mLeafDepartures = { { "leaf", 1 } };
  json array = json::from_msgpack(EncodeMessage(message));
  array.push_back({ { "quota", aPart }, { "later", 1 } });
  const auto bytes = json::to_msgpack(array);
  return { bytes.begin(), bytes.end() };
}

json
Part()
{
  return json::from_msgpack(EncodeMessage(FullMessage())).at(13).at("quota");
}

TEST(quota_codec, MessagesAreDecodedAsTheyWereEncoded)
{
  const auto decoded = DecodeMessage(EncodeMessage(FullMessage()));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, FullMessage());
  EXPECT_EQ(DecodeMessage(WithPart(Part()))->mQuota, FullMessage().mQuota);
}

/** A message that does not fit a datagram would be lost as a whole. */
TEST(quota_codec, LongestMessagesFitADatagram)
{
  fleet_message notice = FullMessage();
  notice.mQuota = {};
  notice.mQuota.mNotices = { { 0, 1'777'319'276'428'123, true, {} } };
  for (std::uint64_t index = 0; index < 120; ++index) {
    notice.mQuota.mNotices.front().mRestricted.push_back(~(2 * index + 1));
  }
  EXPECT_LE(EncodeMessage(notice).size(), 1'400U);
  fleet_message report = FullMessage();
  report.mQuota.mReplies.clear();
  report.mQuota.mNotices.clear();
  report.mQuota.mRequests.front().mItems.resize(
    24, report.mQuota.mRequests.front().mItems.front());
  EXPECT_LE(EncodeMessage(report).size(), 1'400U);
  fleet_message reply = FullMessage();
  reply.mQuota.mRequests.clear();
  reply.mQuota.mNotices.clear();
  reply.mQuota.mReplies.front().mDecisions.resize(
    24, reply.mQuota.mReplies.front().mDecisions.front());
  EXPECT_LE(EncodeMessage(reply).size(), 1'400U);
}

/** A malformed part discarded the whole message, with the heartbeats in it. */
TEST(quota_codec, MalformedPartsLoseNothingElse)
{
  std::vector<json> parts{
    nullptr, 7, "x", json::array(), json::object(), json::array({ 1, 2, 3, 4 })
  };
  std::mt19937 random(3);
  for (int round = 0; round < 3'000; ++round) {
    json part = Part();
    json* place = &part;
    while (place->is_structured() && !place->empty() && random() % 4 != 0) {
      place = &place->at(random() % place->size());
    }
    const json values[] = { nullptr,
                            -1,
                            1e300,
                            "text",
                            json::array(),
                            true,
                            -0.5,
                            1U << 31U,
                            std::numeric_limits<double>::quiet_NaN() };
    *place = values[random() % std::size(values)];
    parts.push_back(std::move(part));
  }
  std::size_t malformed = 0;
  for (const json& part : parts) {
    const auto decoded = DecodeMessage(WithPart(part));
    ASSERT_TRUE(decoded) << part;
    EXPECT_EQ(decoded->mLeafDepartures.size(), 1U);
    if (!decoded->mMalformedParts.empty()) {
      ++malformed;
      EXPECT_EQ(decoded->mMalformedParts, std::vector<std::string>{ "quota" });
      EXPECT_TRUE(decoded->mQuota.IsEmpty()) << part;
    }
    for (const quota_request& request : decoded->mQuota.mRequests) {
      EXPECT_LT(request.mGroup, kQuotaGroups);
    }
    for (const quota_reply& reply : decoded->mQuota.mReplies) {
      for (const quota_decision& decision : reply.mDecisions) {
        EXPECT_TRUE(decision.mLevel >= -1e9 && decision.mLevel <= 1e9);
        EXPECT_GE(decision.mRetryAfter.count(), 0);
      }
    }
  }
  EXPECT_GT(malformed, 1'000U);
}

TEST(quota_codec, TruncatedMessagesAreRefused)
{
  const std::string bytes = EncodeMessage(FullMessage());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeMessage(bytes.substr(0, size))) << size;
  }
}

} // namespace
} // namespace monsooncroft::serving
