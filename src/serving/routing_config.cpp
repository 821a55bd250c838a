/**
 * @file routing_config.cpp
 * Matches requests to routes.
 */
#include "serving/routing_config_base.h"

#include <algorithm>
#include <cctype>

namespace monsooncroft::serving {

namespace {

/** Host in lower case, without its port. */
std::string
HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return key;
}

void
SortUnique(std::vector<std::string>& aNames)
{
  std::sort(aNames.begin(), aNames.end());
  aNames.erase(std::unique(aNames.begin(), aNames.end()), aNames.end());
}

} // namespace

std::shared_ptr<const routing_config>
routing_config::Create(content aContent)
{
  return std::shared_ptr<const routing_config>(
    new routing_config(std::move(aContent)));
}

routing_config::routing_config(content aContent)
  : mContent(std::move(aContent))
{
  for (const route& each : mContent.mRoutes) {
    mByHost[HostKey(each.mHost)].push_back(&each);
    for (const weighted_service& target : each.mTargets) {
      mTargetServices.push_back(target.mService);
    }
    if (each.IsFanOut()) {
      AddShardGroup(each.mShards);
    }
  }
  AddWorkspaces();
  SortUnique(mTargetServices);
  SortUnique(mShardServices);
  mRoutedServices = mTargetServices;
  mRoutedServices.insert(
    mRoutedServices.end(), mShardServices.begin(), mShardServices.end());
  SortUnique(mRoutedServices);
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const route* aLeft, const route* aRight) {
                       return aLeft->mPrefix.size() > aRight->mPrefix.size();
                     });
  }
}

void
routing_config::AddShardGroup(const std::vector<std::string>& aShards)
{
  const std::string& first = *std::min_element(aShards.begin(), aShards.end());
  for (const std::string& shard : aShards) {
    mShardServices.push_back(shard);
    std::string& group = mShardGroups.try_emplace(shard, first).first->second;
    group = std::min(group, first);
  }
}

void
routing_config::AddWorkspaces()
{
  for (workspace& each : mContent.mWorkspaces) {
    for (const std::string& key : each.mApiKeys) {
      mKeys.Add(workspace_keys::SharedDigestOf(key), each);
    }
    for (const std::string& digest : each.mKeyDigests) {
      mKeys.Add(digest, each);
    }
    each.mApiKeys.clear();
    each.mKeyDigests.clear();
    mWorkspacesByName.emplace(each.mName, &each);
  }
}

const workspace*
routing_config::WorkspaceNamed(const std::string& aName) const
{
  const auto found = mWorkspacesByName.find(aName);
  return found == mWorkspacesByName.end() ? nullptr : found->second;
}

const std::string&
routing_config::GroupOf(const std::string& aService) const
{
  const auto found = mShardGroups.find(aService);
  return found == mShardGroups.end() ? aService : found->second;
}

const route*
routing_config::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto found = mByHost.find(HostKey(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const route* each : found->second) {
    if (path.substr(0, each->mPrefix.size()) == each->mPrefix) {
      return each;
    }
  }
  return nullptr;
}

int
routing_config::MaxConnections(const std::string& aService) const
{
  const auto found = mContent.mServices.find(aService);
  return found == mContent.mServices.end() ? 1 : found->second.mMaxConnections;
}

int
RankOf(const routing_config& aConfig,
       const route& aRoute,
       const workspace* aWorkspace)
{
  if (!aConfig.UsesWorkspaces()) {
    return 0;
  }
  return aWorkspace == nullptr
           ? aRoute.mPriority
           : aWorkspace->mPriority.value_or(aRoute.mPriority);
}

} // namespace monsooncroft::serving
