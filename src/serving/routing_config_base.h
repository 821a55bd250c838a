/**
 * @file routing_config_base.h
 * One version of the routing configuration.
 */
#ifndef MONSOONCROFT_SERVING_ROUTING_CONFIG_BASE_H
#define MONSOONCROFT_SERVING_ROUTING_CONFIG_BASE_H

#include "serving/route_type.h"
#include "serving/workspace_type.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace monsooncroft::serving {

/** Immutable; an in-flight request keeps the version with which it started. */
class routing_config
{
public:
  /** Decoded content of a version. */
  struct content
  {
    std::uint64_t mVersion = 0; ///< Increases with each change.
    std::vector<route> mRoutes;
    std::map<std::string, service_limits> mServices;
    caller_limits mLimits;
    /** Without any, requests need no API key. */
    std::vector<workspace> mWorkspaces;

    bool operator==(const content&) const = default;
  };

  static std::shared_ptr<const routing_config> Create(content aContent);

  /**
   * Finds the route of a request.
   * @param aHost Host header; a port is ignored.
   * @param aPath Path with or without a query.
   * @return The route with the longest matching prefix; null if there is none.
   */
  const route* Match(std::string_view aHost, std::string_view aPath) const;

  std::uint64_t Version() const { return mContent.mVersion; }
  const caller_limits& Limits() const { return mContent.mLimits; }
  const std::vector<route>& Routes() const { return mContent.mRoutes; }
  const std::vector<workspace>& Workspaces() const
  {
    return mContent.mWorkspaces;
  }
  const std::map<std::string, service_limits>& Services() const
  {
    return mContent.mServices;
  }
  /** Connection limit of one leaf; 1 for a service that is not listed. */
  int MaxConnections(const std::string& aService) const;
  /**
   * Group of services that requests use together: the shards of a fan-out, or
   * a service alone.
   * @return A service of the group, the same for all of them.
   */
  const std::string& GroupOf(const std::string& aService) const;
  /** Whether a route without fan-out uses the service. */
  bool IsTarget(const std::string& aService) const
  {
    return std::binary_search(
      mTargetServices.begin(), mTargetServices.end(), aService);
  }
  /** Services of routes without fan-out, sorted, without duplicates. */
  const std::vector<std::string>& TargetServices() const
  {
    return mTargetServices;
  }
  /** Shards of all fan-outs, sorted, without duplicates. */
  const std::vector<std::string>& ShardServices() const
  {
    return mShardServices;
  }
  /** Services that the routes use, sorted, without duplicates. */
  const std::vector<std::string>& RoutedServices() const
  {
    return mRoutedServices;
  }

private:
  explicit routing_config(content aContent);
  void AddShardGroup(const std::vector<std::string>& aShards);

  content mContent;
  /** Routes by host, longest prefix first. */
  std::unordered_map<std::string, std::vector<const route*>> mByHost;
  std::vector<std::string> mRoutedServices;
  std::vector<std::string> mTargetServices;
  std::vector<std::string> mShardServices;
  /** Group of each shard, see GroupOf(). */
  std::unordered_map<std::string, std::string> mShardGroups;
};

using routing_config_ptr = std::shared_ptr<const routing_config>;

} // namespace monsooncroft::serving

#endif
