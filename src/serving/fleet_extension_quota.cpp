/**
 * @file fleet_extension_quota.cpp
 * Encodes the part of messages between instances about quotas.
 */
#include "serving/fleet_extension_quota.h"

#include "serving/fleet_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace monsooncroft::serving {

namespace {

using json = nlohmann::json;

/** Longest delay that is read; longer ones are cut. */
constexpr std::int64_t kMaxDelayMs = 60'000;
constexpr double kMaxRate = 1e9;
/** More admissions or questions in one item are not plausible. */
constexpr std::uint32_t kMaxCount = 100'000;

json
ToArray(const quota_item& aItem)
{
  return json::array({ aItem.mWorkspace,
                       aItem.mTotal,
                       aItem.mUnconfirmed,
                       aItem.mAsked,
                       static_cast<float>(aItem.mLimit.mRatePerSecond),
                       static_cast<float>(aItem.mLimit.mBurst) });
}

json
ToArray(const quota_request& aRequest)
{
  json items = json::array();
  for (const quota_item& item : aRequest.mItems) {
    items.push_back(ToArray(item));
  }
  return json::array({ aRequest.mId,
                       aRequest.mGroup,
                       aRequest.mWantsReply ? 1 : 0,
                       std::move(items) });
}

json
ToArray(const quota_reply& aReply)
{
  json decisions = json::array();
  for (const quota_decision& decision : aReply.mDecisions) {
    decisions.push_back(json::array({ decision.mWorkspace,
                                      decision.mGranted,
                                      decision.mRestricted ? 1 : 0,
                                      static_cast<float>(decision.mLevel),
                                      decision.mRetryAfter.count(),
                                      decision.mRetryStep.count() }));
  }
  return json::array({ aReply.mId,
                       aReply.mGroup,
                       (aReply.mDecides ? 1 : 0) | (aReply.mIsFinal ? 2 : 0),
                       std::move(decisions) });
}

json
ToArray(const quota_notice& aNotice)
{
  return json::array({ aNotice.mGroup,
                       aNotice.mNumber,
                       aNotice.mDecides ? 1 : 0,
                       aNotice.mRestricted });
}

/** @throws json::exception if it is not a number in that range. */
double
ToNumber(const json& aValue, double aMin, double aMax)
{
  const auto value = aValue.get<double>();
  if (!(value >= aMin && value <= aMax)) {
    throw json::other_error::create(501, "number out of range", &aValue);
  }
  return value;
}

std::uint32_t
ToCount(const json& aValue)
{
  return static_cast<std::uint32_t>(ToNumber(aValue, 0, kMaxCount));
}

std::chrono::milliseconds
ToDelay(const json& aValue)
{
  return std::chrono::milliseconds(std::clamp<std::int64_t>(
    static_cast<std::int64_t>(ToNumber(aValue, -kMaxRate, kMaxRate)),
    0,
    kMaxDelayMs));
}

quota_group
ToGroup(const json& aValue)
{
  return static_cast<quota_group>(ToNumber(aValue, 0, kQuotaGroups - 1));
}

quota_request
ToRequest(const json& aArray)
{
  quota_request request;
  request.mId = aArray.at(0).get<std::uint64_t>();
  request.mGroup = ToGroup(aArray.at(1));
  request.mWantsReply = aArray.at(2).get<int>() != 0;
  for (const json& element : aArray.at(3)) {
    quota_item item;
    item.mWorkspace = element.at(0).get<std::uint64_t>();
    item.mTotal = element.at(1).get<std::uint64_t>();
    item.mUnconfirmed = ToCount(element.at(2));
    item.mAsked = ToCount(element.at(3));
    item.mLimit.mRatePerSecond = ToNumber(element.at(4), 0, kMaxRate);
    item.mLimit.mBurst = ToNumber(element.at(5), 0, kMaxRate);
    if (QuotaGroupOf(item.mWorkspace) != request.mGroup) {
      throw json::other_error::create(
        501, "workspace of another group", &element);
    }
    request.mItems.push_back(item);
  }
  return request;
}

quota_reply
ToReply(const json& aArray)
{
  quota_reply reply;
  reply.mId = aArray.at(0).get<std::uint64_t>();
  reply.mGroup = ToGroup(aArray.at(1));
  const auto flags = aArray.at(2).get<unsigned>();
  reply.mDecides = (flags & 1U) != 0;
  reply.mIsFinal = (flags & 2U) != 0;
  for (const json& element : aArray.at(3)) {
    quota_decision decision;
    decision.mWorkspace = element.at(0).get<std::uint64_t>();
    decision.mGranted = ToCount(element.at(1));
    decision.mRestricted = element.at(2).get<int>() != 0;
    decision.mLevel = ToNumber(element.at(3), -kMaxRate, kMaxRate);
    decision.mRetryAfter = ToDelay(element.at(4));
    decision.mRetryStep = ToDelay(element.at(5));
    reply.mDecisions.push_back(decision);
  }
  return reply;
}

quota_notice
ToNotice(const json& aArray)
{
  quota_notice notice;
  notice.mGroup = ToGroup(aArray.at(0));
  notice.mNumber = aArray.at(1).get<std::uint64_t>();
  notice.mDecides = aArray.at(2).get<int>() != 0;
  notice.mRestricted = aArray.at(3).get<std::vector<workspace_hash>>();
  return notice;
}

} // namespace

json
EncodeQuota(const fleet_message& aMessage)
{
  const quota_message& quota = aMessage.mQuota;
  if (quota.IsEmpty()) {
    return nullptr;
  }
  json requests = json::array();
  for (const quota_request& request : quota.mRequests) {
    requests.push_back(ToArray(request));
  }
  json replies = json::array();
  for (const quota_reply& reply : quota.mReplies) {
    replies.push_back(ToArray(reply));
  }
  json notices = json::array();
  for (const quota_notice& notice : quota.mNotices) {
    notices.push_back(ToArray(notice));
  }
  return json::array({ std::move(requests),
                       std::move(replies),
                       std::move(notices),
                       quota.mSilentGroups });
}

void
DecodeQuota(const json& aPart, fleet_message& aMessage)
{
  quota_message quota;
  for (const json& request : aPart.at(0)) {
    quota.mRequests.push_back(ToRequest(request));
  }
  for (const json& reply : aPart.at(1)) {
    quota.mReplies.push_back(ToReply(reply));
  }
  for (const json& notice : aPart.at(2)) {
    quota.mNotices.push_back(ToNotice(notice));
  }
  for (const json& group : aPart.at(3)) {
    quota.mSilentGroups.push_back(ToGroup(group));
  }
  aMessage.mQuota = std::move(quota);
}

} // namespace monsooncroft::serving
