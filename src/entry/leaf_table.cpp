/**
 * @file leaf_table.cpp
 * Keeping leaves and learning from their replies.
 */
#include "entry/leaf_table_base.h"

#include "entry/clock_func.h"
#include "net/http_connector_base.h"
#include "policy/connection_share_func.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::entry {

namespace {

constexpr std::uint32_t kChooserSeed = 20261;
constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };

/** This instance's share of a leaf's connections; one at least. */
int
ConnectionsTo(const model::leaf& aLeaf, int aOwners)
{
  return std::max(
    1, policy::ComputeConnectionShare(aLeaf.mConnectionLimit, aOwners).mSteady);
}

} // namespace

leaf_table::leaf_table(net::http_connector& aConnector,
                       const gate_options& aOptions,
                       const hedge_options& aHedge)
  : mConnector(aConnector)
  , mOptions(aOptions)
  , mHedge(aHedge)
  , mChooser(kChooserSeed)
{
}

void
leaf_table::SetLosses(loss_listener aListener)
{
  mOnLoss = std::move(aListener);
}

void
leaf_table::SetBoots(boot_listener aListener)
{
  mOnBoot = std::move(aListener);
}

void
leaf_table::SetGuard(send_guard aGuard)
{
  mGuard = std::move(aGuard);
}

const char*
leaf_table::Objection(const leaf_job& aJob) const
{
  return mGuard ? mGuard(aJob) : nullptr;
}

bool
leaf_table::AskLife(const model::leaf_id& aLeaf,
                    model::duration aTimeout,
                    link::leaf_client::probe_callback aDone)
{
  const std::shared_ptr<leaf_gate> gate = Gate(aLeaf);
  if (gate) {
    gate->ProbeLife(aTimeout, std::move(aDone));
  }
  return gate != nullptr;
}

void
leaf_table::Adopt(const model::manifest& aManifest, int aOwners)
{
  const std::lock_guard lock(mMutex);
  std::map<model::leaf_id, entry> before;
  before.swap(mLeaves);
  mOwners = aOwners;
  for (const model::service& service : aManifest.Services()) {
    for (const model::leaf& leaf : service.mLeaves) {
      entry& kept = mLeaves[leaf.mId];
      const auto known = before.find(leaf.mId);
      if (known != before.end() && known->second.mLeaf == leaf) {
        kept = std::move(known->second);
        before.erase(known);
      }
      kept.mLeaf = leaf;
      kept.mService = service.mId;
      if (kept.mGate) {
        kept.mGate->SetConnections(ConnectionsTo(leaf, aOwners));
      }
    }
  }
  for (const auto& [id, gone] : before) {
    if (mLeaves.count(id) == 0) {
      mDrains.Forget(id);
      mWarmup.Forget(id);
      mBoots.erase(id);
    }
  }
}

std::shared_ptr<leaf_gate>
leaf_table::GateLocked(entry& aEntry)
{
  if (!aEntry.mGate) {
    gate_options options = mOptions;
    options.mLink.mLimit = ConnectionsTo(aEntry.mLeaf, mOwners);
    aEntry.mGate =
      std::make_shared<leaf_gate>(mConnector, *this, aEntry.mLeaf, options);
  }
  return aEntry.mGate;
}

std::shared_ptr<leaf_gate>
leaf_table::Gate(const model::leaf_id& aLeaf)
{
  const std::lock_guard lock(mMutex);
  const auto found = mLeaves.find(aLeaf);
  return found == mLeaves.end() ? nullptr : GateLocked(found->second);
}

std::vector<policy::target_id>
leaf_table::Order(const std::vector<model::leaf_id>& aReplicas,
                  const model::data_centre_id& aLocal)
{
  const model::instant now = Now();
  const std::lock_guard lock(mMutex);
  std::vector<policy::replica_state> states;
  for (const model::leaf_id& replica : aReplicas) {
    const auto found = mLeaves.find(replica);
    if (found == mLeaves.end()) {
      continue;
    }
    policy::replica_state state;
    state.mTarget = policy::target_id(replica.Value());
    state.mLocal = found->second.mLeaf.mDataCentre == aLocal;
    state.mLeaving =
      mDrains.Eligibility(replica, now) != policy::leaf_eligibility::Usable;
    state.mLoadShare = mWarmup.LoadShare(replica, now);
    state.mEstimatedWait = GateLocked(found->second)->EstimatedWait();
    states.push_back(std::move(state));
  }
  return mChooser.Order(states);
}

void
leaf_table::OnList(const std::set<model::leaf_id>& aLeaving,
                   const std::set<model::leaf_id>& aLive)
{
  {
    const model::instant now = Now();
    const std::lock_guard lock(mMutex);
    for (const model::leaf_id& leaf : aLeaving) {
      mDrains.OnInstanceList(leaf, true, now);
    }
    for (const model::leaf_id& leaf : aLive) {
      mDrains.OnInstanceList(leaf, false, now);
    }
  }
  for (const model::leaf_id& leaf : aLeaving) {
    ApplyDrain(leaf);
  }
  for (const model::leaf_id& leaf : aLive) {
    ApplyDrain(leaf);
  }
}

void
leaf_table::OnMark(const policy::drain_mark& aMark)
{
  {
    const std::lock_guard lock(mMutex);
    mDrains.Merge(aMark, Now());
  }
  ApplyDrain(aMark.mLeaf);
}

std::vector<policy::drain_mark>
leaf_table::Marks() const
{
  const std::lock_guard lock(mMutex);
  return mDrains.Marks(Now());
}

std::vector<held_row>
leaf_table::Held(const model::service_id& aService) const
{
  const model::instant now = Now();
  const std::lock_guard lock(mMutex);
  std::vector<held_row> rows;
  for (const auto& [id, known] : mLeaves) {
    const bool usable =
      mDrains.Eligibility(id, now) == policy::leaf_eligibility::Usable;
    if (known.mService != aService || !usable) {
      continue;
    }
    for (const auto& [shard, held] : known.mHeld) {
      rows.push_back({ shard, id, held });
    }
  }
  return rows;
}

std::shared_ptr<shared_budget>
leaf_table::Budget(const model::service_id& aService,
                   const model::kind_id& aKind)
{
  const std::lock_guard lock(mMutex);
  auto& budget = mBudgets[{ aService, aKind }];
  if (!budget) {
    auto& wider = mBudgets[{ model::service_id(), aKind }];
    if (!wider) {
      wider = std::make_shared<shared_budget>(mHedge);
    }
    budget = std::make_shared<shared_budget>(mHedge, wider);
  }
  return budget;
}

void
leaf_table::Tick(const std::set<model::leaf_id>& aOwned)
{
  const model::instant now = Now();
  std::vector<model::leaf_id> due;
  std::vector<std::shared_ptr<leaf_gate>> gates;
  {
    const std::lock_guard lock(mMutex);
    for (auto& [id, known] : mLeaves) {
      const policy::leaf_eligibility use = mDrains.Eligibility(id, now);
      const bool probe = use == policy::leaf_eligibility::Probe;
      const bool ask =
        use == policy::leaf_eligibility::Usable && aOwned.count(id) > 0;
      if (probe || ask) {
        due.push_back(id);
      }
      if (probe) {
        mDrains.OnProbe(id, now);
      }
      if (known.mGate) {
        gates.push_back(known.mGate);
      }
    }
  }
  for (const auto& gate : gates) {
    gate->OnTimer();
  }
  for (const model::leaf_id& leaf : due) {
    Probe(leaf);
  }
}

bool
leaf_table::Looked(const std::set<model::leaf_id>& aLeaves) const
{
  const std::lock_guard lock(mMutex);
  return std::all_of(
    aLeaves.begin(), aLeaves.end(), [this](const model::leaf_id& aLeaf) {
      const auto found = mLeaves.find(aLeaf);
      return found == mLeaves.end() || found->second.mLooked;
    });
}

std::size_t
leaf_table::Connections() const
{
  const std::lock_guard lock(mMutex);
  std::size_t count = 0;
  for (const auto& [id, known] : mLeaves) {
    count += known.mGate ? known.mGate->Connections() : 0;
  }
  return count;
}

void
leaf_table::Probe(const model::leaf_id& aLeaf)
{
  const std::shared_ptr<leaf_gate> gate = Gate(aLeaf);
  if (gate) {
    gate->Probe(kProbeTimeout,
                [this, aLeaf](const std::optional<link::leaf_state>& aState) {
                  OnState(aLeaf, aState);
                });
  }
}

void
leaf_table::OnState(const model::leaf_id& aLeaf,
                    const std::optional<link::leaf_state>& aState)
{
  {
    const std::lock_guard lock(mMutex);
    const auto found = mLeaves.find(aLeaf);
    if (found == mLeaves.end()) {
      return;
    }
    found->second.mLooked = true;
    if (!aState) {
      return;
    }
    found->second.mHeld = aState->mHeld;
  }
  OnReport(aLeaf, policy::boot_id(aState->mBoot), aState->mDraining);
}

void
leaf_table::OnReport(const model::leaf_id& aLeaf,
                     const policy::boot_id& aBoot,
                     bool aDraining)
{
  bool newBoot = false;
  {
    const model::instant now = Now();
    const std::lock_guard lock(mMutex);
    mDrains.OnReply(aLeaf, aBoot, aDraining, now);
    mWarmup.OnReply(aLeaf, aBoot, now);
    policy::boot_id& known = mBoots[aLeaf];
    newBoot = known != aBoot;
    known = aBoot;
  }
  if (newBoot && mOnBoot) {
    mOnBoot(aLeaf, aBoot);
  }
  ApplyDrain(aLeaf);
}

void
leaf_table::ApplyDrain(const model::leaf_id& aLeaf)
{
  std::shared_ptr<leaf_gate> gate;
  bool leaving = false;
  {
    const std::lock_guard lock(mMutex);
    const auto found = mLeaves.find(aLeaf);
    if (found == mLeaves.end() || !found->second.mGate) {
      return;
    }
    gate = found->second.mGate;
    leaving =
      mDrains.Eligibility(aLeaf, Now()) != policy::leaf_eligibility::Usable;
  }
  gate->SetDraining(leaving);
}

void
leaf_table::OnAttemptEnd(const model::leaf& aLeaf,
                         const leaf_job& aJob,
                         const link::attempt_end& aEnd,
                         model::duration aTook,
                         release aRelease)
{
  const link::execute_request& request = aJob.mRequest;
  Budget(request.mService, request.mKind)->OnLatency(aTook, Now());
  if (aEnd.mReport) {
    {
      const std::lock_guard lock(mMutex);
      const auto found = mLeaves.find(aLeaf.mId);
      if (found != mLeaves.end()) {
        found->second.mHeld[request.mShard] = aEnd.mReport->mHeld;
      }
    }
    OnReport(
      aLeaf.mId, policy::boot_id(aEnd.mReport->mBoot), aEnd.mReport->mDraining);
  }
  if (aEnd.mConnectRefused) {
    {
      const std::lock_guard lock(mMutex);
      mDrains.OnConnectionRefused(aLeaf.mId, Now());
    }
    ApplyDrain(aLeaf.mId);
  }
  if (mOnLoss && (aEnd.mConnectRefused || aEnd.mConnectionDied)) {
    mOnLoss({ aLeaf.mId, aJob, aEnd.mConnectRefused, aEnd.mConnectionDied },
            std::move(aRelease));
    return;
  }
  aRelease(false);
}

} // namespace monsooncroft::entry
