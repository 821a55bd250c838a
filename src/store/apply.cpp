/**
 * @file apply.cpp
 * Making the request of an apply; names of its ends.
 */
#include "store/apply_type.h"

#include "config/manifest_json_func.h"
#include "store/head_json_func.h"

namespace monsooncroft::store {

namespace {

constexpr std::size_t kDigestDigits = 16;

chunk_text
ChunkOf(std::string aText)
{
  std::string hash = HashChunk(aText);
  return { std::move(hash), std::move(aText) };
}

} // namespace

const char*
ToString(apply_end aEnd)
{
  switch (aEnd) {
    case apply_end::Accepted:
      return "accepted";
    case apply_end::Conflict:
      return "conflict";
    case apply_end::NotApplied:
      return "not_applied";
    case apply_end::Unknown:
      return "unknown";
  }
  return "unknown";
}

apply_request
apply_request::Of(const model::manifest& aManifest, const change_id& aChange)
{
  apply_request out;
  out.mTenants = ChunkOf(config::EmitTenants(aManifest.Workspaces()));
  std::string content = out.mTenants.mHash;
  for (const model::service& service : aManifest.Services()) {
    out.mServices.push_back(
      { service.mId, ChunkOf(config::EmitService(service)) });
    content += out.mServices.back().mChunk.mHash;
  }
  const std::string digest = HashChunk(content).substr(0, kDigestDigits);
  out.mChange = change_id(aChange.Value() + "." + digest);
  return out;
}

} // namespace monsooncroft::store
