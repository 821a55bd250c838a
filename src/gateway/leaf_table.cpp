/**
 * @file leaf_table.cpp
 * All leaves known to this instance.
 */
#include "gateway/leaf_table_base.h"

#include "cluster/rendezvous_func.h"
#include "gateway/event_loop_base.h"
#include "serving/connection_allocation_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Time for which peers avoid a leaf that this instance suspects; renewed each
 * gossip round. */
constexpr std::uint32_t kSuspicionMs = 350;
/** Assumed work of a request where no route is known; multiplied by the factor
 * of an overdue answer, it exceeds a leaf's pause. */
constexpr std::chrono::milliseconds kAssumedWork{ 30 };
/** Connections that were idle equally long are closed by the leaf at the same
 * moment on all instances; the instances open theirs again spread over this
 * time. If the leaf is at its connection limit, this costs a small part of its
 * work. */
constexpr std::chrono::milliseconds kMaxPreconnectDelay{ 2'000 };

model::duration
PreconnectDelay(const std::string& aSelf, const std::string& aLeaf)
{
  const std::uint64_t weight =
    cluster::RendezvousWeight(cluster::HashOf(aLeaf), cluster::HashOf(aSelf));
  return std::chrono::milliseconds(
    weight % static_cast<std::uint64_t>(kMaxPreconnectDelay.count()));
}

} // namespace

leaf_table::leaf_table(event_loop& aLoop,
                       const header_names& aHeaderNames,
                       leaf_observer& aObserver,
                       std::string aSelf,
                       std::string aDataCentre)
  : mLoop(aLoop)
  , mHeaderNames(aHeaderNames)
  , mObserver(aObserver)
  , mSelf(std::move(aSelf))
  , mDataCentre(std::move(aDataCentre))
{
}

leaf_table::~leaf_table() = default;

void
leaf_table::Remove(const std::string& aId)
{
  const auto found = mById.find(aId);
  if (found == mById.end()) {
    return;
  }
  const leaf_endpoint_ptr leaf = found->second;
  std::erase(mByService[leaf->Entry().mService], leaf);
  mById.erase(found);
  mRetired.push_back(leaf);
  leaf->Retire();
}

void
leaf_table::Apply(const serving::leaf_directory::changes& aChanges,
                  model::instant aNow)
{
  for (const std::string& id : aChanges.mRemovedIds) {
    Remove(id);
  }
  for (const serving::leaf_registration& entry : aChanges.mChangedLeaves) {
    const auto found = mById.find(entry.mId);
    if (found != mById.end() &&
        found->second->Entry().mService == entry.mService) {
      found->second->Update(entry, aNow);
      found->second->Load().SetInOtherDataCentre(entry.mDataCentre !=
                                                 mDataCentre);
      ApplyNotices(entry.mId, aNow);
      continue;
    }
    Remove(entry.mId);
    auto leaf = std::make_shared<leaf_endpoint>(
      mLoop, mHeaderNames, mObserver, entry, PreconnectDelay(mSelf, entry.mId));
    leaf->Load().SetInOtherDataCentre(entry.mDataCentre != mDataCentre);
    mByService[entry.mService].push_back(leaf);
    mById.emplace(entry.mId, std::move(leaf));
    ApplyNotices(entry.mId, aNow);
  }
}

void
leaf_table::ApplyNotices(const std::string& aId, model::instant aNow)
{
  const auto found = mById.find(aId);
  if (found != mById.end()) {
    const leaf_endpoint_ptr leaf = found->second;
    leaf->SetNotices(mNotices.IsLeaving(leaf->Entry()),
                     mNotices.PausedUntil(leaf->Entry()),
                     aNow);
  }
}

bool
leaf_table::OnLeaving(const serving::leaf_registration& aLeaf,
                      model::instant aNow,
                      model::wall_instant aWallNow)
{
  const bool isNew = mNotices.OnLeaving(aLeaf, aWallNow);
  ApplyNotices(aLeaf.mId, aNow);
  return isNew;
}

bool
leaf_table::OnPeerReport(const serving::leaf_departure& aReport,
                         model::instant aNow)
{
  const leaf_endpoint* leaf = Find(aReport.mLeafId);
  const bool wasLeaving = leaf != nullptr && leaf->IsLeaving();
  if (!mNotices.OnReport(aReport)) {
    return false;
  }
  ApplyNotices(aReport.mLeafId, aNow);
  return leaf != nullptr && !wasLeaving && leaf->IsLeaving();
}

bool
leaf_table::OnPause(const serving::leaf_registration& aLeaf,
                    model::duration aPause,
                    model::instant aNow,
                    model::wall_instant aWallNow)
{
  const bool isNew = mNotices.OnPause(aLeaf, aPause, aNow, aWallNow);
  ApplyNotices(aLeaf.mId, aNow);
  return isNew;
}

std::vector<serving::leaf_departure>
leaf_table::NextDepartures(std::size_t aMaxCount)
{
  return mNotices.NextReports(aMaxCount, [this](const std::string& aId) {
    const leaf_endpoint* leaf = Find(aId);
    return leaf != nullptr && leaf->IsLeaving() && !leaf->Entry().mDraining;
  });
}

void
leaf_table::ForgetOldNotices(model::instant aNow)
{
  mNotices.OnTimer(
    [this](const std::string& aId) { return mById.contains(aId); }, aNow);
}

void
leaf_table::AllocateConnections(
  const serving::routing_config* aConfig,
  const serving::fleet_size& aInstances,
  const std::optional<serving::fleet_size>& aShardInstances)
{
  for (const auto& [service, leaves] : mByService) {
    // A service that no route uses yet may become a shard.
    const bool isTarget = aConfig == nullptr || aConfig->IsTarget(service);
    if (!isTarget && !aShardInstances) {
      for (const leaf_endpoint_ptr& leaf : leaves) {
        leaf->SetAllocation({ 1, false });
      }
      continue;
    }
    std::vector<serving::replica_limits> limits;
    for (const leaf_endpoint_ptr& leaf : leaves) {
      limits.push_back(
        { leaf->Entry().mId,
          aConfig == nullptr ? 1 : aConfig->MaxConnections(service),
          leaf->Entry().mSlots,
          leaf->Entry().mDataCentre != mDataCentre });
    }
    const auto allocations = serving::AllocateConnections(
      mSelf, limits, isTarget ? aInstances : *aShardInstances);
    for (std::size_t index = 0; index < leaves.size(); ++index) {
      leaves[index]->SetAllocation(allocations[index]);
    }
  }
}

std::set<std::string>
leaf_table::DataCentresOf(const std::vector<std::string>& aServices) const
{
  std::set<std::string> dataCentres;
  for (const std::string& service : aServices) {
    for (const leaf_endpoint_ptr& leaf : LeavesOf(service)) {
      dataCentres.insert(leaf->Entry().mDataCentre);
    }
  }
  return dataCentres;
}

const leaf_table::leaf_list&
leaf_table::LeavesOf(const std::string& aService) const
{
  static const leaf_list kEmpty;
  const auto found = mByService.find(aService);
  return found == mByService.end() ? kEmpty : found->second;
}

leaf_endpoint*
leaf_table::Find(const std::string& aId)
{
  const auto found = mById.find(aId);
  return found == mById.end() ? nullptr : found->second.get();
}

void
leaf_table::OnTick(const serving::routing_config* aConfig, model::instant aNow)
{
  std::vector<leaf_endpoint_ptr> all;
  all.reserve(mById.size());
  for (const auto& [id, leaf] : mById) {
    all.push_back(leaf);
  }
  for (const leaf_endpoint_ptr& leaf : all) {
    leaf->OnTick(aConfig != nullptr, aNow);
  }
  UpdateReachability(aNow);
  for (const leaf_endpoint_ptr& leaf : mRetired) {
    leaf->OnTick(false, aNow);
  }
  std::erase_if(
    mRetired, [](const leaf_endpoint_ptr& aLeaf) { return aLeaf->Drained(); });
}

void
leaf_table::UpdateReachability(model::instant aNow)
{
  struct data_centre_state
  {
    model::instant mLastContact;
    std::vector<model::instant> mOverdueSince;
    std::vector<leaf_endpoint*> mLeaves;
  };
  std::map<std::string, data_centre_state> states;
  for (const auto& [id, leaf] : mById) {
    if (leaf->Entry().mDataCentre == mDataCentre) {
      continue;
    }
    data_centre_state& state = states[leaf->Entry().mDataCentre];
    state.mLastContact =
      std::max(state.mLastContact, leaf->Load().LastContact());
    if (const auto since = leaf->Load().OverdueSince(kAssumedWork, aNow)) {
      state.mOverdueSince.push_back(*since);
    }
    state.mLeaves.push_back(leaf.get());
  }
  std::erase_if(mReachability, [&](const auto& aEntry) {
    return !states.contains(aEntry.first);
  });
  for (const auto& [dataCentre, state] : states) {
    serving::data_centre_reachability& reachability = mReachability[dataCentre];
    const bool wasUnreachable = reachability.IsUnreachable();
    reachability.OnTick(state.mLastContact, state.mOverdueSince);
    if (reachability.IsUnreachable() != wasUnreachable) {
      mObserver.OnReachabilityChanged(
        dataCentre, reachability.IsUnreachable(), state.mOverdueSince.size());
    }
    for (leaf_endpoint* leaf : state.mLeaves) {
      leaf->Load().SetDataCentreUnreachable(reachability.IsUnreachable());
    }
    if (reachability.TakeProbe(aNow)) {
      state.mLeaves[mProbeCount++ % state.mLeaves.size()]->OpenProbe();
    }
  }
}

bool
leaf_table::OnReportedUnreachable(const std::string& aDataCentre)
{
  const auto reachability = mReachability.find(aDataCentre);
  return reachability != mReachability.end() &&
         reachability->second.OnPeerReportedUnreachable();
}

bool
leaf_table::AnyDataCentreUnreachable() const
{
  return std::any_of(
    mReachability.begin(), mReachability.end(), [](const auto& aEntry) {
      return aEntry.second.IsUnreachable();
    });
}

std::vector<serving::leaf_suspicion>
leaf_table::SuspectedLeaves(model::instant aNow) const
{
  std::vector<serving::leaf_suspicion> suspects;
  for (const auto& [id, leaf] : mById) {
    if (leaf->Load().IsUnresponsive(kAssumedWork, aNow)) {
      suspects.push_back({ id, kSuspicionMs });
    }
  }
  return suspects;
}

double
leaf_table::ServableFraction(const serving::routing_config& aConfig,
                             const serving::recent_demand& aDemand,
                             bool aHasRoot,
                             model::instant aNow) const
{
  double all = 0;
  double servable = 0;
  for (const serving::route& route : aConfig.Routes()) {
    const auto& targets = route.mTargets;
    const bool served =
      route.IsFanOut()
        ? aHasRoot ||
            ReachableFraction(route.mShards, aNow) >= route.mMinSuccessShare
        : std::all_of(targets.begin(), targets.end(), [&](const auto& aTarget) {
            return HasAnsweringLeaf(aTarget.mService, aNow);
          });
    const double demand = aDemand.Weight(route.mName, aNow);
    all += demand;
    servable += served ? demand : 0;
  }
  return all == 0 ? 1 : servable / all;
}

double
leaf_table::ReachableFraction(const std::vector<std::string>& aServices,
                              model::instant aNow) const
{
  if (aServices.empty()) {
    return 1;
  }
  const auto reachable =
    std::count_if(aServices.begin(), aServices.end(), [&](const auto& aName) {
      return HasAnsweringLeaf(aName, aNow);
    });
  return static_cast<double>(reachable) / static_cast<double>(aServices.size());
}

bool
leaf_table::HasAnsweringLeaf(const std::string& aService,
                             model::instant aNow) const
{
  const leaf_list& leaves = LeavesOf(aService);
  return std::any_of(
    leaves.begin(), leaves.end(), [&](const leaf_endpoint_ptr& aLeaf) {
      return aLeaf->AcceptsWork(aNow) && aLeaf->Load().IsKnownReachable(aNow);
    });
}

} // namespace monsooncroft::gateway
