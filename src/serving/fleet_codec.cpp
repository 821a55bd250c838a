/**
 * @file fleet_codec.cpp
 * Encodes the messages between instances as MessagePack.
 */
#include "serving/fleet_codec_func.h"

#include "serving/fleet_extensions.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace monsooncroft::serving {

namespace {

using json = nlohmann::json;

constexpr int kFormatVersion = 2; ///< First element of each message.

model::store_revision
ToRevision(const json& aPacked)
{
  return model::store_revision::Unpack(aPacked.get<std::uint64_t>());
}

json
ToArray(const fleet_member& aMember)
{
  return json::array(
    { aMember.mName,
      aMember.mDataCentre,
      aMember.mPeerEndpoint.mAddress,
      aMember.mPeerEndpoint.mPort,
      aMember.mIncarnation,
      aMember.mHeartbeat,
      aMember.mConfigVersion,
      (aMember.mReachesStore ? 1 : 0) | (aMember.mLeaving ? 2 : 0),
      aMember.mDirectoryRevision.Pack(),
      aMember.mStateHeartbeat,
      aMember.mCapacityMillicores,
      aMember.mRelayPort });
}

fleet_member
ToMember(const json& aArray)
{
  fleet_member member;
  member.mName = aArray.at(0).get<std::string>();
  member.mDataCentre = aArray.at(1).get<std::string>();
  member.mPeerEndpoint.mAddress = aArray.at(2).get<std::string>();
  member.mPeerEndpoint.mPort = aArray.at(3).get<std::uint16_t>();
  member.mIncarnation = aArray.at(4).get<std::uint64_t>();
  member.mHeartbeat = aArray.at(5).get<std::uint64_t>();
  member.mConfigVersion = aArray.at(6).get<std::uint64_t>();
  const int flags = aArray.at(7).get<int>();
  member.mReachesStore = (flags & 1) != 0;
  member.mLeaving = (flags & 2) != 0;
  // Instances of earlier versions do not send the following elements.
  if (aArray.size() > 8) {
    member.mDirectoryRevision = ToRevision(aArray.at(8));
  }
  member.mStateHeartbeat =
    aArray.size() > 9 ? aArray.at(9).get<std::uint64_t>() : member.mHeartbeat;
  if (aArray.size() > 11) {
    member.mCapacityMillicores = aArray.at(10).get<std::uint32_t>();
    member.mRelayPort = aArray.at(11).get<std::uint16_t>();
  }
  return member;
}

json
ToArray(const leaf_registration& aLeaf)
{
  return json::array({ aLeaf.mId,
                       aLeaf.mService,
                       aLeaf.mAddress.mAddress,
                       aLeaf.mAddress.mPort,
                       aLeaf.mDataCentre,
                       aLeaf.mSlots,
                       aLeaf.mDraining,
                       aLeaf.mIncarnation,
                       aLeaf.mColdRemainingMs,
                       aLeaf.mRevision.Pack() });
}

leaf_registration
ToLeaf(const json& aArray)
{
  leaf_registration leaf;
  leaf.mId = aArray.at(0).get<std::string>();
  leaf.mService = aArray.at(1).get<std::string>();
  leaf.mAddress.mAddress = aArray.at(2).get<std::string>();
  leaf.mAddress.mPort = aArray.at(3).get<std::uint16_t>();
  leaf.mDataCentre = aArray.at(4).get<std::string>();
  leaf.mSlots = aArray.at(5).get<int>();
  leaf.mDraining = aArray.at(6).get<bool>();
  leaf.mIncarnation = aArray.at(7).get<std::uint64_t>();
  leaf.mColdRemainingMs = aArray.at(8).get<std::int64_t>();
  leaf.mRevision = ToRevision(aArray.at(9));
  return leaf;
}

json
ToArray(const leaf_suspicion& aSuspicion)
{
  return json::array({ aSuspicion.mLeafId, aSuspicion.mRemainingMs });
}

json
ToArray(const leaf_observation& aObservation)
{
  return json::array({ aObservation.mLeafId,
                       aObservation.mExcessLatencyMs
                         ? json(*aObservation.mExcessLatencyMs)
                         : json() });
}

json
ToArray(const directory_delta& aDelta);
json
ToArray(const once::crash_mark& aMark);
json
ToArray(const leaf_limit_report& aReport);
json
ToArray(const permit_item& aItem);
json
ToArray(const permit_request& aRequest);
json
ToArray(const permit_decision& aDecision);
json
ToArray(const permit_reply& aReply);
json
ToArray(const leaf_departure& aDeparture);

template<class T>
json
ToArrays(const std::vector<T>& aItems)
{
  json out = json::array();
  for (const T& item : aItems) {
    out.push_back(ToArray(item));
  }
  return out;
}

json
ToArray(const once::crash_mark& aMark)
{
  return json::array({ once::CrashMarkName(aMark),
                       aMark.mSuspicion.mService.Value(),
                       aMark.mCleared,
                       aMark.mExpires.time_since_epoch().count() });
}

/** Encodes revisions as one flat array: ids, or those after which ranges begin,
 * each with its revision. */
json
ToArray(const std::map<std::string, model::store_revision>& aRevisions)
{
  json out = json::array();
  for (const auto& [id, revision] : aRevisions) {
    out.push_back(id);
    out.push_back(revision.Pack());
  }
  return out;
}

std::map<std::string, model::store_revision>
ToRevisions(const json& aArray)
{
  std::map<std::string, model::store_revision> revisions;
  for (std::size_t index = 0; index + 1 < aArray.size(); index += 2) {
    revisions[aArray.at(index).get<std::string>()] =
      ToRevision(aArray.at(index + 1));
  }
  return revisions;
}

key_revisions
ToKeyRevisions(const json& aArray)
{
  key_revisions revisions;
  const auto starts = ToRevisions(aArray);
  for (auto range = starts.begin(); range != starts.end(); ++range) {
    const auto next = std::next(range);
    revisions.Raise(range->first,
                    next == starts.end() ? std::nullopt
                                         : std::optional(next->first),
                    range->second);
  }
  return revisions;
}

std::chrono::milliseconds
ToMilliseconds(const json& aNumber)
{
  return std::chrono::milliseconds(aNumber.get<std::uint32_t>());
}

/** Whether a delta has elements that instances of earlier versions do not
 * know. */
bool
HasLaterElements(const directory_delta& aDelta)
{
  return !aDelta.mRanges.IsUniform() || !aDelta.mBaseRanges.IsUniform() ||
         !aDelta.mLaterRevisions.empty() ||
         aDelta.mReregistrationTime.count() != 0;
}

json
ToArray(const directory_delta& aDelta)
{
  json out = json::array({ aDelta.mBaseRevision.Pack(),
                           aDelta.mRevision.Pack(),
                           ToArrays(aDelta.mChangedLeaves),
                           aDelta.mRemovedIds,
                           aDelta.mMissingIds });
  if (HasLaterElements(aDelta)) {
    out.push_back(ToArray(aDelta.mRanges.Ranges()));
    out.push_back(ToArray(aDelta.mLaterRevisions));
    out.push_back(ToArray(aDelta.mBaseRanges.Ranges()));
    out.push_back(aDelta.mReregistrationTime.count());
  }
  return out;
}

directory_delta
ToDelta(const json& aArray)
{
  directory_delta delta;
  delta.mBaseRevision = ToRevision(aArray.at(0));
  delta.mRevision = ToRevision(aArray.at(1));
  for (const json& leaf : aArray.at(2)) {
    delta.mChangedLeaves.push_back(ToLeaf(leaf));
  }
  delta.mRemovedIds = aArray.at(3).get<std::vector<std::string>>();
  // Instances of earlier versions do not send it.
  if (aArray.size() > 4) {
    delta.mMissingIds = aArray.at(4).get<std::vector<std::string>>();
  }
  if (aArray.size() > 7) {
    delta.mRanges = ToKeyRevisions(aArray.at(5));
    delta.mLaterRevisions = ToRevisions(aArray.at(6));
    delta.mBaseRanges = ToKeyRevisions(aArray.at(7));
  }
  if (aArray.size() > 8) {
    delta.mReregistrationTime = ToMilliseconds(aArray.at(8));
  }
  return delta;
}

/** Encodes heartbeats as one flat array, without an array for each of them: a
 * message has one for nearly every member. */
json
ToArray(const std::vector<member_heartbeat>& aHeartbeats)
{
  json out = json::array();
  for (const member_heartbeat& heartbeat : aHeartbeats) {
    out.push_back(heartbeat.mMemberHash);
    out.push_back(heartbeat.mHeartbeat);
  }
  return out;
}

json
ToArray(const leaf_limit_report& aReport)
{
  return json::array({ aReport.mLeafId,
                       aReport.mIncarnation,
                       aReport.mPerSecond,
                       aReport.mAgeMs });
}

json
ToArray(const leaf_departure& aDeparture)
{
  return json::array({ aDeparture.mLeafId, aDeparture.mStartedBy });
}

json
ToArray(const permit_item& aItem)
{
  return json::array({ aItem.mLeafId, aItem.mPerSecond });
}

json
ToArray(const permit_request& aRequest)
{
  return json::array({ aRequest.mId,
                       aRequest.mServiceGroup,
                       aRequest.mTargetLatencyMs,
                       aRequest.mIsHedge,
                       aRequest.mRequired,
                       ToArrays(aRequest.mLeaves) });
}

permit_request
ToPermitRequest(const json& aArray)
{
  permit_request request;
  request.mId = aArray.at(0).get<std::uint64_t>();
  request.mServiceGroup = aArray.at(1).get<std::string>();
  request.mTargetLatencyMs = aArray.at(2).get<int>();
  request.mIsHedge = aArray.at(3).get<bool>();
  request.mRequired = aArray.at(4).get<std::size_t>();
  for (const json& item : aArray.at(5)) {
    request.mLeaves.push_back(
      { item.at(0).get<std::string>(), item.at(1).get<double>() });
  }
  return request;
}

json
ToArray(const permit_decision& aDecision)
{
  return json::array({ aDecision.mGranted, aDecision.mRetryAfter.count() });
}

json
ToArray(const permit_reply& aReply)
{
  return json::array({ aReply.mId, ToArrays(aReply.mDecisions) });
}

permit_reply
ToPermitReply(const json& aArray)
{
  permit_reply reply;
  reply.mId = aArray.at(0).get<std::uint64_t>();
  for (const json& decision : aArray.at(1)) {
    reply.mDecisions.push_back(
      { decision.at(0).get<bool>(),
        std::chrono::milliseconds(decision.at(1).get<std::int64_t>()) });
  }
  return reply;
}

/** Decodes what instances of earlier versions do not send. */
void
DecodeLimits(const json& aArray, fleet_message& aMessage)
{
  if (aArray.size() <= 9) {
    return;
  }
  for (const json& report : aArray.at(9)) {
    aMessage.mLeafLimits.push_back({ report.at(0).get<std::string>(),
                                     report.at(1).get<std::uint64_t>(),
                                     report.at(2).get<double>(),
                                     report.at(3).get<std::uint32_t>() });
  }
  for (const json& request : aArray.at(10)) {
    aMessage.mPermitRequests.push_back(ToPermitRequest(request));
  }
  for (const json& reply : aArray.at(11)) {
    aMessage.mPermitReplies.push_back(ToPermitReply(reply));
  }
  if (aArray.size() <= 12) {
    return;
  }
  for (const json& departure : aArray.at(12)) {
    aMessage.mLeafDepartures.push_back(
      { departure.at(0).get<std::string>(),
        departure.at(1).get<std::uint64_t>() });
  }
  if (aArray.size() > 13) {
    DecodeExtensions(aArray.at(13), aMessage);
  }
}

std::string
Pack(const json& aValue)
{
  std::string bytes;
  json::to_msgpack(aValue, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

/** @return The decoded array; nothing if the bytes are not of this format. The
 * caller logs that. */
std::optional<json>
Unpack(std::string_view aBytes)
{
  json value = json::from_msgpack(aBytes, true, false);
  if (!value.is_array() || value.empty() || value[0] != kFormatVersion) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string
EncodeMessage(const fleet_message& aMessage)
{
  json array = json::array({ kFormatVersion,
                             ToArrays(aMessage.mMembers),
                             aMessage.mWantsReply,
                             ToArrays(aMessage.mSuspicions),
                             ToArrays(aMessage.mDirectoryDeltas),
                             ToArrays(aMessage.mCrashMarks),
                             ToArrays(aMessage.mLeafObservations),
                             aMessage.mUnreachableDataCentres,
                             ToArray(aMessage.mHeartbeats) });
  json extensions = EncodeExtensions(aMessage);
  const bool hasDepartures =
    !aMessage.mLeafDepartures.empty() || !extensions.is_null();
  if (!aMessage.mLeafLimits.empty() || !aMessage.mPermitRequests.empty() ||
      !aMessage.mPermitReplies.empty() || hasDepartures) {
    array.push_back(ToArrays(aMessage.mLeafLimits));
    array.push_back(ToArrays(aMessage.mPermitRequests));
    array.push_back(ToArrays(aMessage.mPermitReplies));
  }
  if (hasDepartures) {
    array.push_back(ToArrays(aMessage.mLeafDepartures));
  }
  if (!extensions.is_null()) {
    array.push_back(std::move(extensions));
  }
  return Pack(array);
}

std::optional<fleet_message>
DecodeMessage(std::string_view aBytes)
{
  const auto value = Unpack(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    fleet_message message;
    for (const json& member : value->at(1)) {
      message.mMembers.push_back(ToMember(member));
    }
    message.mWantsReply = value->at(2).get<bool>();
    for (const json& suspect : value->at(3)) {
      message.mSuspicions.push_back({ suspect.at(0).get<std::string>(),
                                      suspect.at(1).get<std::uint32_t>() });
    }
    for (const json& observation : value->at(6)) {
      serving::leaf_observation decoded;
      decoded.mLeafId = observation.at(0).get<std::string>();
      if (!observation.at(1).is_null()) {
        decoded.mExcessLatencyMs = observation.at(1).get<std::int32_t>();
      }
      message.mLeafObservations.push_back(std::move(decoded));
    }
    message.mUnreachableDataCentres =
      value->at(7).get<std::vector<std::string>>();
    const json& heartbeats = value->at(8);
    for (std::size_t index = 0; index + 1 < heartbeats.size(); index += 2) {
      message.mHeartbeats.push_back(
        { heartbeats[index].get<std::uint32_t>(),
          heartbeats[index + 1].get<std::uint64_t>() });
    }
    for (const json& delta : value->at(4)) {
      message.mDirectoryDeltas.push_back(ToDelta(delta));
    }
    for (const json& mark : value->at(5)) {
      const auto suspicion = once::ParseCrashMarkName(
        mark.at(0).get<std::string>(),
        model::service_id(mark.at(1).get<std::string>()));
      if (!suspicion) {
        return std::nullopt; // The caller logs the failure with the sender.
      }
      message.mCrashMarks.push_back(
        { *suspicion,
          mark.at(2).get<bool>(),
          model::wall_instant(
            std::chrono::milliseconds(mark.at(3).get<std::int64_t>())) });
    }
    DecodeLimits(*value, message);
    return message;
  } catch (const json::exception&) {
    return std::nullopt; // The caller logs the failure with the sender.
  }
}

std::string
EncodeSnapshotRequest(const snapshot_request& aRequest)
{
  return Pack(json::array({ kFormatVersion,
                            aRequest.mConfigVersion,
                            aRequest.mDirectoryRevision.Pack() }));
}

std::optional<snapshot_request>
DecodeSnapshotRequest(std::string_view aBytes)
{
  const auto value = Unpack(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    return snapshot_request{ value->at(1).get<std::uint64_t>(),
                             ToRevision(value->at(2)) };
  } catch (const json::exception&) {
    return std::nullopt; // The receiver reads on, up to its limit.
  }
}

std::string
EncodeSnapshot(const fleet_snapshot& aSnapshot)
{
  json array = json::array(
    { kFormatVersion,
      aSnapshot.mConfigVersion,
      aSnapshot.mConfigRevision.Pack(),
      aSnapshot.mConfigText,
      aSnapshot.mDirectory.mRevision.Pack(),
      ToArrays(aSnapshot.mDirectory.mChangedLeaves),
      aSnapshot.mDirectory.mBaseRevision.Pack(),
      aSnapshot.mDirectory.mRemovedIds,
      aSnapshot.mCompleteAgeMs ? json(*aSnapshot.mCompleteAgeMs) : json(),
      aSnapshot.mDirectory.mMissingIds });
  if (HasLaterElements(aSnapshot.mDirectory)) {
    array.push_back(ToArray(aSnapshot.mDirectory.mRanges.Ranges()));
    array.push_back(ToArray(aSnapshot.mDirectory.mLaterRevisions));
    array.push_back(aSnapshot.mDirectory.mReregistrationTime.count());
  }
  return Pack(array);
}

std::optional<fleet_snapshot>
DecodeSnapshot(std::string_view aBytes)
{
  const auto value = Unpack(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    fleet_snapshot snapshot;
    snapshot.mConfigVersion = value->at(1).get<std::uint64_t>();
    snapshot.mConfigRevision = ToRevision(value->at(2));
    snapshot.mConfigText = value->at(3).get<std::string>();
    snapshot.mDirectory.mRevision = ToRevision(value->at(4));
    for (const json& leaf : value->at(5)) {
      snapshot.mDirectory.mChangedLeaves.push_back(ToLeaf(leaf));
    }
    snapshot.mDirectory.mBaseRevision = ToRevision(value->at(6));
    snapshot.mDirectory.mRemovedIds =
      value->at(7).get<std::vector<std::string>>();
    if (!value->at(8).is_null()) {
      snapshot.mCompleteAgeMs = value->at(8).get<std::uint32_t>();
    }
    // Instances of earlier versions do not send it.
    if (value->size() > 9) {
      snapshot.mDirectory.mMissingIds =
        value->at(9).get<std::vector<std::string>>();
    }
    if (value->size() > 11) {
      snapshot.mDirectory.mRanges = ToKeyRevisions(value->at(10));
      snapshot.mDirectory.mLaterRevisions = ToRevisions(value->at(11));
    }
    if (value->size() > 12) {
      snapshot.mDirectory.mReregistrationTime = ToMilliseconds(value->at(12));
    }
    return snapshot;
  } catch (const json::exception&) {
    return std::nullopt; // The caller logs the failure with the sender.
  }
}

} // namespace monsooncroft::serving
