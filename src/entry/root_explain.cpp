/**
 * @file root_explain.cpp
 * What the root knows of index versions, and how it would route a query.
 */
#include "entry/clock_func.h"
#include "entry/manifest_table_base.h"
#include "entry/owner_service_base.h"
#include "entry/relay_codec_func.h"
#include "entry/root_service_base.h"
#include "entry/snapshot_table_base.h"
#include "net/http_pool_base.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <set>

namespace monsooncroft::entry {

namespace {

constexpr model::duration kRefreshTimeout{ 1000000 };

/** Counts replies that are still to come. */
struct reply_counter
{
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::size_t mOpen = 0;
};

std::string
HeldQuestion(const model::service_id& aService)
{
  return nlohmann::json{ { "service", aService.Value() } }.dump();
}

} // namespace

void
root_service::AskHeld(const model::service_id& aService,
                      const cluster::ownership& aOwners,
                      model::duration aWait)
{
  std::set<model::instance_id> owners;
  for (const cluster::leaf_group& group : aOwners.GroupsOf(aService)) {
    if (!group.mOwners.empty()) {
      owners.insert(group.mOwners.front());
    } else {
      owners.insert(mParts.mLinks.mSelf);
    }
  }
  const auto counter = std::make_shared<reply_counter>();
  counter->mOpen = owners.size();
  for (const model::instance_id& owner : owners) {
    const auto done =
      [this, aService, counter](const std::vector<held_row>& aRows) {
        mParts.mLinks.mSnapshots.OnHeld(aService, aRows);
        const std::lock_guard lock(counter->mMutex);
        --counter->mOpen;
        counter->mChanged.notify_all();
      };
    const cluster::member* member = aOwners.View()->Find(owner);
    if (owner == mParts.mLinks.mSelf || member == nullptr) {
      done(mParts.mLinks.mLocal.Held(aService));
      continue;
    }
    mParts.mLinks.mPool.Send(
      member->mPeer,
      { "POST", kHeldTarget, HeldQuestion(aService) },
      kRefreshTimeout,
      [done](const net::exchange_result& aResult) {
        done(
          ParseHeld(aResult.mResponse.mBody).value_or(std::vector<held_row>()));
      });
  }
  std::unique_lock lock(counter->mMutex);
  counter->mChanged.wait_for(lock, aWait, [&] { return counter->mOpen == 0; });
}

void
root_service::RefreshSnapshots()
{
  const cluster::ownership_ptr owners = mParts.mManifests.Owners();
  if (!owners) {
    return;
  }
  for (const model::service_id& service : mParts.mLinks.mSnapshots.Services()) {
    AskHeld(service, *owners, model::duration(0));
  }
}

std::string
root_service::Explain(const model::service_id& aService,
                      const model::kind_id& aKind)
{
  model::query query;
  query.mService = aService;
  query.mKind = aKind;
  pinned pin;
  nlohmann::ordered_json out;
  if (!Pin(query, { Now(), std::nullopt, false }, pin)) {
    out["reason"] = "not declared, or not ready";
    return out.dump();
  }
  PinSnapshot(pin);
  out["manifest"] = pin.mManifest->Version();
  out["snapshot"] = pin.mSnapshot;
  out["idempotent"] = pin.mContract->mIdempotent;
  out["deadline_ms"] = pin.mContract->mDeadline.count();
  out["shards"] = nlohmann::ordered_json::array();
  for (const model::shard& shard : pin.mService->mShards) {
    nlohmann::ordered_json row;
    row["shard"] = shard.mId.Value();
    row["candidates"] = nlohmann::ordered_json::array();
    for (const policy::target_id& target : Candidates(shard, pin, 0)) {
      const owner_target owner = owner_target::FromTarget(target);
      row["candidates"].push_back(
        { { "owner", owner.mInstance.Value() },
          { "data_centre", owner.mDataCentre.Value() } });
    }
    out["shards"].push_back(std::move(row));
  }
  return out.dump();
}

} // namespace monsooncroft::entry
