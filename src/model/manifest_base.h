/**
 * @file manifest_base.h
 * The manifest: everything that the operators declare, under one version.
 */
#ifndef MONSOONCROFT_MODEL_MANIFEST_BASE_H
#define MONSOONCROFT_MODEL_MANIFEST_BASE_H

#include "model/service_type.h"
#include "model/workspace_type.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace monsooncroft::model {

/** Version of an accepted manifest; 0 means none. */
using manifest_version = std::uint64_t;

/** An immutable manifest, shared by the queries that pinned it. */
class manifest
{
public:
  manifest(manifest_version aVersion,
           std::vector<workspace> aWorkspaces,
           std::vector<service> aServices);

  manifest_version Version() const { return mVersion; }
  const std::vector<workspace>& Workspaces() const { return mWorkspaces; }
  const std::vector<service>& Services() const { return mServices; }
  const service* FindService(
    const service_id& aService) const; ///< Null if not declared.
  const workspace* FindWorkspace(
    const workspace_id& aWorkspace) const; ///< Null if not declared.

  bool operator==(const manifest&) const = default;

private:
  manifest_version mVersion;
  std::vector<workspace> mWorkspaces; ///< In declared order.
  std::vector<service> mServices;     ///< In declared order.
};

using manifest_ptr = std::shared_ptr<const manifest>;

} // namespace monsooncroft::model

#endif
