/**
 * @file request_head.cpp
 * Conversion of requests and answers between callers and leaves.
 */
#include "gateway/request_head_func.h"

#include "gateway/bearer_key_func.h"
#include "gateway/header_names_type.h"
#include "gateway/relay_fields_type.h"
#include "model/answer_type.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace monsooncroft::gateway {

namespace {

constexpr std::array<std::string_view, 11> kConnectionFields{
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Transfer-Encoding",
  "TE",
  "Trailer",
  "Upgrade",
  "Expect",
  "Content-Length",
  "Proxy-Authenticate",
  "Proxy-Authorization"
};

constexpr std::array<int, 4> kNotRunStatuses{ 408, 421, 429, 503 };

/** Whether a comma-separated list, as in Connection, contains the name. */
bool
ContainsName(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    std::string_view item = aList.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (EqualsIgnoreCase(item, aName)) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

bool
IsConnectionField(const http_message& aMessage, const std::string& aName)
{
  if (std::any_of(kConnectionFields.begin(),
                  kConnectionFields.end(),
                  [&](std::string_view aOther) {
                    return EqualsIgnoreCase(aOther, aName);
                  })) {
    return true;
  }
  const std::string* connectionField = aMessage.Find("Connection");
  return connectionField != nullptr && ContainsName(*connectionField, aName);
}

/** Whether a caller's field does not reach the receiver, because it holds the
 * key or could be taken for a field that this tier sets. */
bool
IsWithheld(std::string_view aName,
           const header_names& aHeaderNames,
           const forwarding& aForwarding)
{
  if (!aForwarding.mUsesWorkspaces &&
      aForwarding.mReceiver == request_receiver::Leaf) {
    return false;
  }
  if (MayBeTakenForPrefix(aName, relay_fields::kPrefix)) {
    return true;
  }
  return aForwarding.mUsesWorkspaces &&
         (MayBeTakenFor(aName, kAuthorizationField) ||
          MayBeTakenFor(aName, aHeaderNames.mWorkspace));
}

} // namespace

std::shared_ptr<const leaf_request>
MakeLeafRequest(const http_message& aRequest,
                const header_names& aHeaderNames,
                const std::string& aRequestId,
                const forwarding& aForwarding)
{
  auto text = std::make_shared<leaf_request>();
  text->mRequestId = aRequestId;
  text->mRunOnce =
    aForwarding.mRepeatability == serving::repeatability::RunOnce;
  text->mWorkspace = aForwarding.mWorkspace;
  text->mContentHash = HashRequestContent(aRequest);
  text->mBody = aRequest.mBody;
  text->mNoBodyExpected = aRequest.mMethod == "HEAD";
  std::string& head = text->mHead;
  head.reserve(512);
  head.append(aRequest.mMethod).append(" ").append(aRequest.mTarget);
  head.append(" HTTP/1.1\r\n");
  for (const http_field& field : aRequest.mFields) {
    if (IsConnectionField(aRequest, field.mName) ||
        EqualsIgnoreCase(field.mName, aHeaderNames.mRemainingMs) ||
        EqualsIgnoreCase(field.mName, aHeaderNames.mExpectedLeaf) ||
        IsWithheld(field.mName, aHeaderNames, aForwarding)) {
      continue;
    }
    head.append(field.mName).append(": ").append(field.mValue).append("\r\n");
  }
  const std::string_view workspaceField =
    aForwarding.mReceiver == request_receiver::Root
      ? std::string_view(relay_fields::kWorkspace)
      : aHeaderNames.mWorkspace;
  if (!aForwarding.mWorkspace.empty() && !workspaceField.empty()) {
    head.append(workspaceField).append(": ");
    head.append(aForwarding.mWorkspace).append("\r\n");
  }
  if (!aRequest.mBody.empty() || aRequest.mMethod == "POST" ||
      aRequest.mMethod == "PUT" || aRequest.mMethod == "PATCH") {
    head.append("Content-Length: ");
    head.append(std::to_string(aRequest.mBody.size())).append("\r\n");
  }
  return text;
}

once::content_hash
HashRequestContent(const http_message& aRequest)
{
  const std::string* host = aRequest.Find("Host");
  model::query query;
  query.mService = model::service_id(host == nullptr ? "" : *host);
  query.mKind = model::kind_id(aRequest.mMethod);
  query.mBody = aRequest.mTarget + "\n" + aRequest.mBody;
  return once::HashContent(query);
}

http_response
ForwardedAnswer(const http_message& aAnswer)
{
  http_response response;
  response.mStatus = aAnswer.mStatus;
  response.mBody = aAnswer.mBody;
  for (const http_field& field : aAnswer.mFields) {
    if (!IsConnectionField(aAnswer, field.mName)) {
      response.mFields.push_back(field);
    }
  }
  return response;
}

bool
MeansNotRun(int aStatus)
{
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), aStatus) !=
         kNotRunStatuses.end();
}

std::string
FormatSeconds(std::chrono::milliseconds aTime)
{
  const std::string fraction = std::to_string(aTime.count() % 1000);
  return std::to_string(aTime.count() / 1000) + "." +
         std::string(3 - fraction.size(), '0') + fraction;
}

} // namespace monsooncroft::gateway
