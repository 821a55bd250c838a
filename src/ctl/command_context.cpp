/**
 * @file command_context.cpp
 * Functions that several commands share.
 */
#include "ctl/command_context_base.h"

#include "ctl/instance_client_base.h"
#include "ctl/text_table_func.h"
#include "store/instance_list_base.h"

#include <fstream>
#include <sstream>

namespace monsooncroft::ctl {

namespace {

using json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds kStatusTimeout{ 2000 };

/** Returns a member, or the default if it is absent or of another type. */
template<class T>
T
MemberOr(const json& aObject, const char* aName, T aDefault)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return aDefault;
  }
  try {
    return found->get<T>();
  } catch (const json::exception&) {
    return aDefault;
  }
}

/** Fills in a status from the answer; leaves it unchanged without a valid one.
 */
void
ReadStatus(const net::exchange_result& aResult, instance_status& aStatus)
{
  const bool replied = aResult.mState == net::send_state::Replied &&
                       aResult.mResponse.mStatus == net::kHttpOk;
  if (!replied) {
    return;
  }
  const json body = json::parse(aResult.mResponse.mBody, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  aStatus.mAnswered = true;
  aStatus.mInstance =
    MemberOr<std::string>(body, "instance", aStatus.mInstance);
  aStatus.mDataCentre =
    MemberOr<std::string>(body, "data_centre", aStatus.mDataCentre);
  aStatus.mManifest = MemberOr<model::manifest_version>(body, "manifest", 0);
  aStatus.mReady = MemberOr<bool>(body, "ready", false);
  const auto alarms = body.find("alarms");
  if (alarms != body.end() && alarms->is_array()) {
    for (const json& alarm : *alarms) {
      aStatus.mAlarms.push_back(alarm.is_string() ? alarm.get<std::string>()
                                                  : alarm.dump());
    }
  }
}

} // namespace

void
command_context::Report(const json& aReport) const
{
  if (mOptions.mJson) {
    *mOut << aReport.dump(-1, ' ', false, json::error_handler_t::replace)
          << "\n";
  } else {
    *mOut << RenderText(aReport);
  }
  mOut->flush();
}

instance_targets
FindInstances(const command_context& aContext)
{
  instance_targets out;
  if (!aContext.mOptions.mInstances.empty()) {
    out.mListAvailable = true;
    for (const model::endpoint& address : aContext.mOptions.mInstances) {
      instance_status namedInstance;
      namedInstance.mAddress = address;
      namedInstance.mInstance = address.ToString();
      out.mInstances.push_back(std::move(namedInstance));
    }
    return out;
  }
  if (aContext.mInstanceList == nullptr) {
    return out;
  }
  const store::instances_outcome listed = aContext.mInstanceList->List();
  out.mListAvailable = listed.mStatus == store::store_status::Ok;
  for (const store::listed_instance& entry : listed.mInstances) {
    if (entry.mRole == store::instance_role::Entry) {
      instance_status listedInstance;
      listedInstance.mAddress = entry.mCallerAddress;
      listedInstance.mInstance = entry.mId;
      listedInstance.mDataCentre = entry.mDataCentre.Value();
      listedInstance.mLeaving = entry.mLeaving;
      out.mInstances.push_back(std::move(listedInstance));
    }
  }
  return out;
}

std::vector<instance_status>
FetchInstanceStatus(const command_context& aContext,
                    std::vector<instance_status> aTargets)
{
  std::vector<model::endpoint> addresses;
  addresses.reserve(aTargets.size());
  for (const instance_status& target : aTargets) {
    addresses.push_back(target.mAddress);
  }
  const auto results = aContext.mInstanceClient->CallAll(
    addresses, { "GET", "/v1/status", "" }, kStatusTimeout);
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    ReadStatus(results[i], aTargets[i]);
  }
  return aTargets;
}

json
ToJson(const std::vector<instance_status>& aInstances)
{
  json out = json::array();
  for (const instance_status& instance : aInstances) {
    json row = { { "instance", instance.mInstance },
                 { "data_centre", instance.mDataCentre },
                 { "address", instance.mAddress.ToString() },
                 { "answered", instance.mAnswered },
                 { "leaving", instance.mLeaving } };
    row["manifest"] = instance.mAnswered ? json(instance.mManifest) : json();
    row["ready"] = instance.mReady;
    row["alarms"] = instance.mAlarms;
    out.push_back(std::move(row));
  }
  return out;
}

std::optional<std::string>
ReadFile(const command_context& aContext, const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (file) {
    text << file.rdbuf();
  }
  if (!file) {
    *aContext.mErr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  return text.str();
}

} // namespace monsooncroft::ctl
