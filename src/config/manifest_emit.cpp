/**
 * @file manifest_emit.cpp
 * Writing a manifest as canonical JSON.
 */
#include "config/json_text_func.h"
#include "config/manifest_json_func.h"

namespace monsooncroft::config {

namespace {

using nlohmann::json;

template<class Identifiers>
json
Values(const Identifiers& aIdentifiers)
{
  json out = json::array();
  for (const auto& identifier : aIdentifiers) {
    out.push_back(identifier.Value());
  }
  return out;
}

json
ToJson(const model::workspace& aTenant)
{
  return { { "name", aTenant.mId.Value() },
           { "weight", aTenant.mWeight },
           { "rate_per_s", aTenant.mRatePerSecond },
           { "burst", aTenant.mBurst } };
}

json
ToJson(const model::shard& aShard)
{
  return { { "name", aShard.mId.Value() },
           { "covers", Values(aShard.mCoverageNames) },
           { "leaves", Values(aShard.mReplicas) } };
}

json
ToJson(const model::leaf& aLeaf)
{
  return { { "name", aLeaf.mId.Value() },
           { "address", aLeaf.mEndpoint.ToString() },
           { "data_centre", aLeaf.mDataCentre.Value() },
           { "slots", aLeaf.mSlots },
           { "connection_limit", aLeaf.mConnectionLimit } };
}

json
ToJson(const model::contract& aContract)
{
  return { { "kind", aContract.mKind.Value() },
           { "urgency", ToString(aContract.mUrgency) },
           { "deadline_ms", aContract.mDeadline.count() },
           { "least_coverage", aContract.mLeastCoverage },
           { "idempotent", aContract.mIdempotent },
           { "merge", ToString(aContract.mMerge) },
           { "limit", aContract.mLimit } };
}

json
ToJson(const model::service& aService);

template<class Entries>
json
ToArray(const Entries& aEntries)
{
  json out = json::array();
  for (const auto& entry : aEntries) {
    out.push_back(ToJson(entry));
  }
  return out;
}

json
ToJson(const model::service& aService)
{
  return { { "name", aService.mId.Value() },
           { "shards", ToArray(aService.mShards) },
           { "leaves", ToArray(aService.mLeaves) },
           { "contracts", ToArray(aService.mContracts) } };
}

} // namespace

const char*
ToString(model::urgency aUrgency)
{
  switch (aUrgency) {
    case model::urgency::Urgent:
      return "urgent";
    case model::urgency::Normal:
      return "normal";
    case model::urgency::Browsing:
      return "browsing";
  }
  return "normal";
}

const char*
ToString(model::merge_rule aRule)
{
  switch (aRule) {
    case model::merge_rule::Concat:
      return "concat";
    case model::merge_rule::Top:
      return "top";
    case model::merge_rule::Sum:
      return "sum";
  }
  return "concat";
}

std::string
EmitManifest(const model::manifest& aManifest)
{
  return WriteJson({ { "schema", kManifestSchema },
                     { "tenants", ToArray(aManifest.Workspaces()) },
                     { "services", ToArray(aManifest.Services()) } });
}

std::string
EmitService(const model::service& aService)
{
  return WriteJson(ToJson(aService));
}

std::string
EmitTenants(const std::vector<model::workspace>& aTenants)
{
  return WriteJson(ToArray(aTenants));
}

} // namespace monsooncroft::config
