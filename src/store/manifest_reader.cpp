/**
 * @file manifest_reader.cpp
 * Follows the manifest upwards.
 */
#include "store/manifest_reader_base.h"

#include "config/manifest_json_func.h"
#include "store/head_json_func.h"

#include <algorithm>
#include <set>

namespace monsooncroft::store {

const char*
ToString(alarm_kind aKind)
{
  switch (aKind) {
    case alarm_kind::LowerVersion:
      return "manifest_lower_version";
    case alarm_kind::DivergedHead:
      return "manifest_diverged";
    case alarm_kind::InvalidHead:
      return "manifest_head_invalid";
    case alarm_kind::InvalidManifest:
      return "manifest_invalid";
    case alarm_kind::WrongChunk:
      return "manifest_chunk_wrong";
  }
  return "";
}

model::manifest_version
manifest_reader::Version() const
{
  return mInForce ? mInForce->Version() : 0;
}

reader_step
manifest_reader::OnHead(const std::string& aText, head_source aSource)
{
  auto parsed = ParseHead(aText);
  if (parsed.has_error()) {
    Raise(alarm_kind::InvalidHead, 0, ToString(parsed.error().front()));
    return reader_step::Refused;
  }
  head& told = parsed.value();
  if (aSource == head_source::Platform) {
    mAlarms.erase(alarm_kind::InvalidHead);
  }
  if (told.mVersion <= Version()) {
    return OnOlderHead(told, aSource);
  }
  if (aSource == head_source::Platform) {
    mAlarms.erase(alarm_kind::LowerVersion);
  }
  if (told.mVersion <= mRejected) {
    return reader_step::Refused;
  }
  if (mTarget && told.mVersion <= mTarget->mVersion) {
    return reader_step::Fetching;
  }
  mTarget = std::move(told);
  mTargetText = aText;
  return TryAdopt();
}

reader_step
manifest_reader::OnHeadAbsent()
{
  if (Version() == 0) {
    return reader_step::Ignored;
  }
  Raise(alarm_kind::LowerVersion,
        0,
        "the platform holds no manifest, in force is " +
          std::to_string(Version()));
  return reader_step::Refused;
}

reader_step
manifest_reader::OnOlderHead(const head& aHead, head_source aSource)
{
  if (aHead.mVersion == Version()) {
    if (aHead.mChange != mHead.mChange) {
      Raise(alarm_kind::DivergedHead,
            aHead.mVersion,
            "changes " + aHead.mChange.Value() + " and " +
              mHead.mChange.Value() + " both claim version " +
              std::to_string(aHead.mVersion));
      return reader_step::Refused;
    }
    if (aSource == head_source::Platform) {
      mAlarms.erase(alarm_kind::LowerVersion);
      mAlarms.erase(alarm_kind::DivergedHead);
    }
    return reader_step::Ignored;
  }
  if (aSource == head_source::Peer) {
    return reader_step::Ignored;
  }
  Raise(alarm_kind::LowerVersion,
        aHead.mVersion,
        "the platform holds version " + std::to_string(aHead.mVersion) +
          ", in force is " + std::to_string(Version()));
  return reader_step::Refused;
}

reader_step
manifest_reader::OnChunk(const chunk_ref& aChunk, const std::string& aText)
{
  const std::vector<chunk_ref> missing = Missing();
  const bool wanted =
    std::any_of(missing.begin(), missing.end(), [&](const auto& aOther) {
      return aOther.mHash == aChunk.mHash;
    });
  if (!wanted) {
    return reader_step::Ignored;
  }
  if (HashChunk(aText) != aChunk.mHash) {
    Raise(alarm_kind::WrongChunk, mTarget->mVersion, aChunk.Key());
    return reader_step::Refused;
  }
  mChunks[aChunk.mHash] = { aText, nullptr };
  return TryAdopt();
}

void
manifest_reader::OnChunkGone(const chunk_ref& aChunk)
{
  if (!mTarget) {
    return;
  }
  const std::vector<chunk_ref> wanted = mTarget->Chunks();
  if (std::find(wanted.begin(), wanted.end(), aChunk) != wanted.end()) {
    mTarget.reset();
    DropUnused();
  }
}

std::vector<chunk_ref>
manifest_reader::Missing() const
{
  std::vector<chunk_ref> out;
  if (!mTarget) {
    return out;
  }
  for (const chunk_ref& chunk : mTarget->Chunks()) {
    if (mChunks.count(chunk.mHash) == 0) {
      out.push_back(chunk);
    }
  }
  return out;
}

reader_step
manifest_reader::TryAdopt()
{
  if (!Missing().empty()) {
    return reader_step::Fetching;
  }
  auto tenants = config::ParseTenants(mChunks[mTarget->mTenants.mHash].mText);
  if (tenants.has_error()) {
    return Reject(ToString(tenants.error().front()));
  }
  auto services = ParseServices();
  if (!services) {
    return reader_step::Refused;
  }
  auto whole = config::AssembleManifest(
    mTarget->mVersion, std::move(tenants.value()), std::move(*services));
  if (whole.has_error()) {
    return Reject(ToString(whole.error().front()));
  }
  mInForce = std::make_shared<const model::manifest>(std::move(whole.value()));
  mHead = std::move(*mTarget);
  mHeadText = std::move(mTargetText);
  mTarget.reset();
  mAlarms.clear();
  DropUnused();
  return reader_step::Adopted;
}

std::optional<std::vector<model::service>>
manifest_reader::ParseServices()
{
  std::vector<model::service> out;
  for (const service_ref& entry : mTarget->mServices) {
    held_chunk& chunk = mChunks[entry.mChunk.mHash];
    if (!chunk.mService) {
      auto parsed = config::ParseService(chunk.mText);
      if (parsed.has_error()) {
        Reject(entry.mService.Value() + " " + ToString(parsed.error().front()));
        return std::nullopt;
      }
      chunk.mService =
        std::make_shared<const model::service>(std::move(parsed.value()));
    }
    if (chunk.mService->mId != entry.mService) {
      Reject("the chunk of " + entry.mService.Value() + " holds " +
             chunk.mService->mId.Value());
      return std::nullopt;
    }
    out.push_back(*chunk.mService);
  }
  return out;
}

reader_step
manifest_reader::Reject(const std::string& aReason)
{
  mRejected = mTarget->mVersion;
  Raise(alarm_kind::InvalidManifest, mTarget->mVersion, aReason);
  mTarget.reset();
  DropUnused();
  return reader_step::Refused;
}

void
manifest_reader::Raise(alarm_kind aKind,
                       model::manifest_version aVersion,
                       std::string aText)
{
  mAlarms[aKind] = { aKind, aVersion, std::move(aText) };
}

void
manifest_reader::DropUnused()
{
  std::set<std::string> used;
  if (mInForce) {
    for (const chunk_ref& chunk : mHead.Chunks()) {
      used.insert(chunk.mHash);
    }
  }
  std::erase_if(
    mChunks, [&](const auto& aEntry) { return !used.contains(aEntry.first); });
}

const std::string*
manifest_reader::ChunkText(const std::string& aHash) const
{
  const auto found = mChunks.find(aHash);
  return found == mChunks.end() ? nullptr : &found->second.mText;
}

std::vector<manifest_alarm>
manifest_reader::Alarms() const
{
  std::vector<manifest_alarm> out;
  for (const auto& [kind, alarm] : mAlarms) {
    out.push_back(alarm);
  }
  return out;
}

} // namespace monsooncroft::store
