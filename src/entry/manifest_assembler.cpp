/**
 * @file manifest_assembler.cpp
 * Putting manifests together.
 */
#include "entry/manifest_assembler_base.h"

#include "config/manifest_json_func.h"
#include "entry/manifest_store_source_base.h"

#include <utility>

namespace monsooncroft::entry {

config::result<model::manifest>
manifest_assembler::Assemble(const cluster::manifest_head& aHead,
                             const std::vector<cluster::chunk>& aChunks)
{
  std::vector<model::workspace> tenants;
  std::vector<model::service> services;
  service_map kept;
  for (std::size_t i = 0; i < aChunks.size(); ++i) {
    const cluster::chunk& chunk = aChunks[i];
    const std::string& hash = aHead.mChunks.at(i).mHash;
    // The tenants come first; a service may bear the same name.
    if (i == 0 && chunk.mName == kTenantsChunk) {
      auto parsed = config::ParseTenants(chunk.mText);
      if (!parsed) {
        return { std::move(parsed.error()) };
      }
      tenants = std::move(parsed.value());
      continue;
    }
    const auto known = mServices.find(hash);
    if (known != mServices.end()) {
      services.push_back(known->second);
    } else {
      auto parsed = config::ParseService(chunk.mText);
      if (!parsed) {
        return { std::move(parsed.error()) };
      }
      ++mParsed;
      services.push_back(std::move(parsed.value()));
    }
    kept.emplace(hash, services.back());
  }
  mServices = std::move(kept);
  return config::AssembleManifest(
    aHead.mVersion, std::move(tenants), std::move(services));
}

} // namespace monsooncroft::entry
