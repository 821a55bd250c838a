/**
 * @file manifest_check.cpp
 * Checks that span several entries of a manifest.
 */
#include "config/manifest_check_func.h"

#include "config/json_text_func.h"
#include "config/manifest_json_func.h"

#include <map>
#include <set>

namespace monsooncroft::config {

namespace {

/** Remembers where each key stood first and reports the second place. */
class unique_keys
{
public:
  unique_keys(std::string aAllowed, config_errors& aErrors)
    : mAllowed(std::move(aAllowed))
    , mErrors(aErrors)
  {
  }

  /** Empty keys come from entries already at fault and are passed over. */
  void Add(const std::string& aKey, const std::string& aPath)
  {
    if (aKey.empty()) {
      return;
    }
    const auto [place, fresh] = mFirst.emplace(aKey, aPath);
    if (!fresh) {
      mErrors.push_back(
        { aPath, aKey + " again, first at " + place->second, mAllowed });
    }
  }

private:
  std::map<std::string, std::string> mFirst; ///< Key to its first place.
  std::string mAllowed;                      ///< Rule, for errors.
  config_errors& mErrors;                    ///< Where faults go.
};

std::string
Entry(const std::string& aPath, const char* aArray, std::size_t aIndex)
{
  return Below(Below(aPath, std::string(aArray)), aIndex);
}

void
CheckReplicas(const model::service& aService,
              const model::shard& aShard,
              const std::string& aPath,
              config_errors& aErrors)
{
  unique_keys replicas("each leaf once", aErrors);
  for (std::size_t i = 0; i < aShard.mReplicas.size(); ++i) {
    const model::leaf_id& replica = aShard.mReplicas[i];
    const std::string path = Entry(aPath, "leaves", i);
    replicas.Add(replica.Value(), path);
    if (!replica.Empty() && aService.FindLeaf(replica) == nullptr) {
      aErrors.push_back(
        { path, replica.Value(), "a leaf that this service declares" });
    }
  }
}

void
CheckShards(const model::service& aService,
            const std::string& aPath,
            config_errors& aErrors)
{
  unique_keys names("names of shards unique in the service", aErrors);
  for (std::size_t i = 0; i < aService.mShards.size(); ++i) {
    const model::shard& part = aService.mShards[i];
    const std::string path = Entry(aPath, "shards", i);
    names.Add(part.mId.Value(), path + "/name");
    CheckReplicas(aService, part, path, aErrors);
    unique_keys covers("each name once", aErrors);
    for (std::size_t j = 0; j < part.mCoverageNames.size(); ++j) {
      covers.Add(part.mCoverageNames[j].Value(), Entry(path, "covers", j));
    }
  }
}

void
CheckLeavesUsed(const model::service& aService,
                const std::string& aPath,
                config_errors& aErrors)
{
  std::set<model::leaf_id> used;
  for (const model::shard& part : aService.mShards) {
    used.insert(part.mReplicas.begin(), part.mReplicas.end());
  }
  for (std::size_t i = 0; i < aService.mLeaves.size(); ++i) {
    const model::leaf_id& id = aService.mLeaves[i].mId;
    if (!id.Empty() && used.count(id) == 0) {
      aErrors.push_back({ Entry(aPath, "leaves", i),
                          id.Value() + ", which serves no shard",
                          "leaves that serve a shard" });
    }
  }
}

} // namespace

void
CheckService(const model::service& aService,
             const std::string& aPath,
             config_errors& aErrors)
{
  CheckShards(aService, aPath, aErrors);
  CheckLeavesUsed(aService, aPath, aErrors);
  unique_keys kinds("kinds unique in the service", aErrors);
  for (std::size_t i = 0; i < aService.mContracts.size(); ++i) {
    kinds.Add(aService.mContracts[i].mKind.Value(),
              Entry(aPath, "contracts", i) + "/kind");
  }
  const std::size_t bytes = EmitService(aService).size();
  if (bytes > kMaxPartBytes) {
    aErrors.push_back(
      { aPath,
        std::to_string(bytes) + " bytes",
        "at most " + std::to_string(kMaxPartBytes) + " bytes a service" });
  }
}

void
CheckTenants(const std::vector<model::workspace>& aTenants,
             const std::string& aPath,
             config_errors& aErrors)
{
  unique_keys names("names of tenants unique", aErrors);
  for (std::size_t i = 0; i < aTenants.size(); ++i) {
    names.Add(aTenants[i].mId.Value(), Below(aPath, i) + "/name");
  }
  const std::size_t bytes = EmitTenants(aTenants).size();
  if (bytes > kMaxPartBytes) {
    aErrors.push_back(
      { aPath,
        std::to_string(bytes) + " bytes",
        "at most " + std::to_string(kMaxPartBytes) + " bytes of tenants" });
  }
}

void
CheckAcross(const std::vector<model::service>& aServices,
            config_errors& aErrors)
{
  unique_keys services("names of services unique", aErrors);
  unique_keys leaves("names of leaves unique in the manifest", aErrors);
  unique_keys addresses("addresses unique in the manifest", aErrors);
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    const std::string path = Entry("", "services", i);
    services.Add(aServices[i].mId.Value(), path + "/name");
    for (std::size_t j = 0; j < aServices[i].mLeaves.size(); ++j) {
      const model::leaf& server = aServices[i].mLeaves[j];
      const std::string place = Entry(path, "leaves", j);
      leaves.Add(server.mId.Value(), place + "/name");
      const bool known = server.mEndpoint.mPort != 0;
      addresses.Add(known ? server.mEndpoint.ToString() : "",
                    place + "/address");
    }
  }
}

} // namespace monsooncroft::config
