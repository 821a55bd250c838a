/**
 * @file workspace_type.h
 * Workspaces of the routing configuration.
 */
#ifndef MONSOONCROFT_SERVING_WORKSPACE_TYPE_H
#define MONSOONCROFT_SERVING_WORKSPACE_TYPE_H

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** A customer whose requests are identified by API keys. */
struct workspace
{
  std::string mName;
  std::vector<std::string> mApiKeys;
  /** Keys of which only workspace_keys::SharedDigestOf() is known, since the
   * configuration came from another instance. */
  std::vector<std::string> mKeyDigests;
  /** Takes precedence over the route's priority; 0 is served first. */
  std::optional<int> mPriority;
  /** Quota of all instances together, in requests; 0: no limit. */
  double mRatePerSecond = 0;
  double mBurst = 0;               ///< Requests allowed above the rate at once.
  std::vector<std::string> mHomes; ///< Regions; empty: any region.

  bool operator==(const workspace&) const = default;
};

} // namespace monsooncroft::serving

#endif
