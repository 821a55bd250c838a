/**
 * @file manifest_parse.cpp
 * Reading a manifest from JSON.
 */
#include "config/manifest_check_func.h"
#include "config/manifest_json_func.h"
#include "config/object_reader_base.h"

namespace monsooncroft::config {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxTenants = 10'000;
constexpr std::size_t kMaxServices = 10'000;
constexpr std::size_t kMaxShards = 10'000;
constexpr std::size_t kMaxLeaves = 10'000;
constexpr std::size_t kMaxReplicas = 64;
constexpr std::size_t kMaxCovers = 10'000;
constexpr std::size_t kMaxContracts = 100;
constexpr bounds<double> kWeight{ 0.001, 1'000'000 };
constexpr bounds<double> kRate{ 0, 100'000'000 };
constexpr bounds<std::int64_t> kSlots{ 1, 10'000 };
constexpr bounds<std::int64_t> kConnections{ 1, 100'000 };
constexpr bounds<std::int64_t> kDeadlineMs{ 1, 3'600'000 };
constexpr bounds<double> kCoverage{ 0, 1 };
constexpr bounds<std::int64_t> kTopLimit{ 0, 100'000 };
constexpr int kPartDepth = kManifestDepth;

const std::vector<std::string> kUrgencies = { "urgent", "normal", "browsing" };
const std::vector<std::string> kMergeRules = { "concat", "top", "sum" };

model::workspace
ReadTenant(const json& aValue, const std::string& aPath, config_errors& aErrors)
{
  object_reader reader(aValue, aPath, aErrors);
  model::workspace out;
  out.mId = model::workspace_id(reader.Name("name"));
  out.mWeight = reader.Number("weight", kWeight, 1);
  out.mRatePerSecond = reader.Number("rate_per_s", kRate, 0);
  out.mBurst = reader.Number("burst", kRate, 0);
  reader.RefuseOthers();
  if (out.mRatePerSecond > 0 && out.mBurst < 1) {
    aErrors.push_back({ reader.PathOf("burst"),
                        Shown(out.mBurst),
                        "at least 1 where rate_per_s is set" });
  }
  return out;
}

/** Reads an array of texts into identifiers; each must pass aRule. */
template<class Identifier>
std::vector<Identifier>
ReadNames(object_reader& aReader,
          const char* aMember,
          bounds<std::size_t> aCount,
          bool (*aRule)(const std::string&),
          const char* aAllowed,
          config_errors& aErrors)
{
  std::vector<Identifier> out;
  for (const json& entry : aReader.Array(aMember, aCount)) {
    const bool fits =
      entry.is_string() && aRule(entry.get_ref<const std::string&>());
    if (!fits) {
      aErrors.push_back(
        { Below(aReader.PathOf(aMember), out.size()), Shown(entry), aAllowed });
    }
    out.emplace_back(fits ? entry.get<std::string>() : std::string());
  }
  return out;
}

model::shard
ReadShard(const json& aValue, const std::string& aPath, config_errors& aErrors)
{
  object_reader reader(aValue, aPath, aErrors);
  model::shard out;
  out.mId = model::shard_id(reader.Name("name"));
  out.mCoverageNames = ReadNames<model::coverage_name>(
    reader, "covers", { 0, kMaxCovers }, IsLabel, kLabelAllowed, aErrors);
  out.mReplicas = ReadNames<model::leaf_id>(
    reader, "leaves", { 1, kMaxReplicas }, IsName, kNameAllowed, aErrors);
  reader.RefuseOthers();
  return out;
}

model::leaf
ReadLeaf(const json& aValue, const std::string& aPath, config_errors& aErrors)
{
  object_reader reader(aValue, aPath, aErrors);
  model::leaf out;
  out.mId = model::leaf_id(reader.Name("name"));
  out.mEndpoint = reader.Endpoint("address");
  out.mDataCentre = model::data_centre_id(reader.Name("data_centre"));
  out.mSlots = static_cast<int>(reader.Integer("slots", kSlots));
  out.mConnectionLimit =
    static_cast<int>(reader.Integer("connection_limit", kConnections));
  reader.RefuseOthers();
  return out;
}

model::contract
ReadContract(const json& aValue,
             const std::string& aPath,
             config_errors& aErrors)
{
  object_reader reader(aValue, aPath, aErrors);
  model::contract out;
  out.mKind = model::kind_id(reader.Name("kind"));
  out.mUrgency =
    static_cast<model::urgency>(reader.Choice("urgency", kUrgencies));
  out.mDeadline =
    std::chrono::milliseconds(reader.Integer("deadline_ms", kDeadlineMs));
  out.mLeastCoverage = reader.Number("least_coverage", kCoverage, 0);
  out.mIdempotent = reader.Boolean("idempotent");
  out.mMerge =
    static_cast<model::merge_rule>(reader.Choice("merge", kMergeRules, 0));
  out.mLimit = static_cast<int>(reader.Integer("limit", kTopLimit, 0));
  reader.RefuseOthers();
  if (out.mMerge == model::merge_rule::Top && out.mLimit == 0) {
    aErrors.push_back(
      { reader.PathOf("limit"), "0", "at least 1 where merge is top" });
  }
  return out;
}

/** Reads every entry of an array, each at its own pointer. */
template<class Entry>
std::vector<Entry>
ReadAll(const json& aArray,
        const std::string& aPath,
        Entry (*aRead)(const json&, const std::string&, config_errors&),
        config_errors& aErrors)
{
  std::vector<Entry> out;
  out.reserve(aArray.size());
  for (const json& entry : aArray) {
    out.push_back(aRead(entry, Below(aPath, out.size()), aErrors));
  }
  return out;
}

model::service
ReadService(const json& aValue,
            const std::string& aPath,
            config_errors& aErrors)
{
  object_reader reader(aValue, aPath, aErrors);
  model::service out;
  out.mId = model::service_id(reader.Name("name"));
  out.mShards = ReadAll(reader.Array("shards", { 1, kMaxShards }),
                        reader.PathOf("shards"),
                        ReadShard,
                        aErrors);
  out.mLeaves = ReadAll(reader.Array("leaves", { 1, kMaxLeaves }),
                        reader.PathOf("leaves"),
                        ReadLeaf,
                        aErrors);
  out.mContracts = ReadAll(reader.Array("contracts", { 1, kMaxContracts }),
                           reader.PathOf("contracts"),
                           ReadContract,
                           aErrors);
  reader.RefuseOthers();
  CheckService(out, aPath, aErrors);
  return out;
}

template<class T>
result<T>
Finish(T aValue, config_errors aErrors)
{
  if (!aErrors.empty()) {
    return result<T>(std::move(aErrors));
  }
  return result<T>(std::move(aValue));
}

} // namespace

result<model::manifest>
ParseManifest(const std::string& aText, model::manifest_version aVersion)
{
  config_errors errors;
  const auto value =
    ReadJson(aText, { kMaxManifestBytes, kManifestDepth }, errors);
  if (!value) {
    return { std::move(errors) };
  }
  object_reader reader(*value, "", errors);
  reader.Integer("schema", { kManifestSchema, kManifestSchema });
  auto tenants = ReadAll(reader.Array("tenants", { 0, kMaxTenants }),
                         reader.PathOf("tenants"),
                         ReadTenant,
                         errors);
  CheckTenants(tenants, reader.PathOf("tenants"), errors);
  auto services = ReadAll(reader.Array("services", { 0, kMaxServices }),
                          reader.PathOf("services"),
                          ReadService,
                          errors);
  reader.RefuseOthers();
  CheckAcross(services, errors);
  return Finish(
    model::manifest(aVersion, std::move(tenants), std::move(services)),
    std::move(errors));
}

result<model::service>
ParseService(const std::string& aText)
{
  config_errors errors;
  const auto value = ReadJson(aText, { kMaxPartBytes, kPartDepth }, errors);
  if (!value) {
    return { std::move(errors) };
  }
  model::service out = ReadService(*value, "", errors);
  return Finish(std::move(out), std::move(errors));
}

result<std::vector<model::workspace>>
ParseTenants(const std::string& aText)
{
  using tenants = std::vector<model::workspace>;
  config_errors errors;
  const auto value = ReadJson(aText, { kMaxPartBytes, kPartDepth }, errors);
  if (!value) {
    return { std::move(errors) };
  }
  if (!value->is_array() || value->size() > kMaxTenants) {
    errors.push_back({ "", Shown(*value), "an array of tenants" });
    return { std::move(errors) };
  }
  tenants out = ReadAll(*value, "", ReadTenant, errors);
  CheckTenants(out, "", errors);
  return Finish(std::move(out), std::move(errors));
}

result<model::manifest>
AssembleManifest(model::manifest_version aVersion,
                 std::vector<model::workspace> aTenants,
                 std::vector<model::service> aServices)
{
  config_errors errors;
  CheckTenants(aTenants, "/tenants", errors);
  CheckAcross(aServices, errors);
  return Finish(
    model::manifest(aVersion, std::move(aTenants), std::move(aServices)),
    std::move(errors));
}

} // namespace monsooncroft::config
