/**
 * @file manifest_plan.cpp
 * The differences between two manifests.
 */
#include "store/manifest_plan_type.h"

#include "config/manifest_json_func.h"

#include <nlohmann/json.hpp>

#include <map>

namespace monsooncroft::store {

namespace {

using nlohmann::json;

/** Collects the differences between arrays of named objects. */
class differ
{
public:
  explicit differ(std::vector<plan_entry>& aOut)
    : mOut(aOut)
  {
  }

  void Compare(const json& aFrom,
               const json& aTo,
               plan_subject aSubject,
               const model::service_id& aService)
  {
    const char* key = aSubject == plan_subject::Contract ? "kind" : "name";
    const std::map<std::string, const json*> before = ByName(aFrom, key);
    const std::map<std::string, const json*> after = ByName(aTo, key);
    for (const auto& [name, entry] : before) {
      if (after.count(name) == 0) {
        mOut.push_back({ plan_change::Removed, aSubject, aService, name, "" });
      }
    }
    for (const auto& [name, entry] : after) {
      const auto old = before.find(name);
      if (old == before.end()) {
        mOut.push_back({ plan_change::Added, aSubject, aService, name, "" });
      } else if (*old->second != *entry) {
        OnChanged(*old->second, *entry, aSubject, aService, name);
      }
    }
  }

private:
  static std::map<std::string, const json*> ByName(const json& aArray,
                                                   const char* aKey)
  {
    std::map<std::string, const json*> out;
    for (const json& entry : aArray) {
      out.emplace(entry.at(aKey).get<std::string>(), &entry);
    }
    return out;
  }

  void OnChanged(const json& aFrom,
                 const json& aTo,
                 plan_subject aSubject,
                 const model::service_id& aService,
                 const std::string& aName)
  {
    if (aSubject == plan_subject::Service) {
      const model::service_id service(aName);
      const std::size_t before = mOut.size();
      Compare(aFrom["shards"], aTo["shards"], plan_subject::Shard, service);
      Compare(aFrom["leaves"], aTo["leaves"], plan_subject::Leaf, service);
      Compare(
        aFrom["contracts"], aTo["contracts"], plan_subject::Contract, service);
      if (mOut.size() == before) {
        mOut.push_back({ plan_change::Changed,
                         aSubject,
                         service,
                         aName,
                         "order of its entries" });
      }
      return;
    }
    mOut.push_back(
      { plan_change::Changed, aSubject, aService, aName, Detail(aFrom, aTo) });
  }

  static std::string Detail(const json& aFrom, const json& aTo)
  {
    std::string out;
    for (const auto& [name, value] : aTo.items()) {
      if (aFrom.at(name) != value) {
        out += out.empty() ? "" : ", ";
        out += name + " " + aFrom.at(name).dump() + " -> " + value.dump();
      }
    }
    return out;
  }

  std::vector<plan_entry>& mOut; ///< Where differences go.
};

} // namespace

std::vector<plan_entry>
PlanChanges(const model::manifest& aFrom, const model::manifest& aTo)
{
  // Both texts are canonical and were written just now: they always parse.
  const json from = json::parse(config::EmitManifest(aFrom));
  const json to = json::parse(config::EmitManifest(aTo));
  std::vector<plan_entry> out;
  differ differences(out);
  differences.Compare(from["tenants"], to["tenants"], plan_subject::Tenant, {});
  differences.Compare(
    from["services"], to["services"], plan_subject::Service, {});
  return out;
}

const char*
ToString(plan_change aChange)
{
  switch (aChange) {
    case plan_change::Added:
      return "added";
    case plan_change::Removed:
      return "removed";
    case plan_change::Changed:
      return "changed";
  }
  return "";
}

const char*
ToString(plan_subject aSubject)
{
  switch (aSubject) {
    case plan_subject::Tenant:
      return "tenant";
    case plan_subject::Service:
      return "service";
    case plan_subject::Shard:
      return "shard";
    case plan_subject::Leaf:
      return "leaf";
    case plan_subject::Contract:
      return "contract";
  }
  return "";
}

} // namespace monsooncroft::store
