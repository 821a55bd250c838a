/**
 * @file root_service_base.h
 * The root's part of a query: pins, fans out, merges, answers.
 */
#ifndef MONSOONCROFT_ENTRY_ROOT_SERVICE_BASE_H
#define MONSOONCROFT_ENTRY_ROOT_SERVICE_BASE_H

#include "cluster/ownership_base.h"
#include "entry/owner_sender_base.h"
#include "entry/shared_budget_base.h"
#include "model/answer_type.h"
#include "policy/fanout_type.h"
#include "policy/workspace_limiter_base.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace monsooncroft::net {
class http_connector;
}

namespace monsooncroft::ops {
class metrics;
}

namespace monsooncroft::entry {

class fanout_driver;
class manifest_table;

/** What the root uses; all outlives it. */
struct root_parts
{
  net::http_connector& mTimers;
  manifest_table& mManifests;
  ops::metrics& mMetrics;
  owner_links mLinks;
  model::data_centre_id mDataCentre; ///< This instance's.
};

/** Why a query is no valid one for the manifest: the field's name. */
struct bad_query
{
  std::string mField;
  std::string mReason;
};

/** Terms under which one query runs. */
struct run_terms
{
  model::instant mArrived;
  std::optional<model::wall_instant> mSendBefore; ///< See leaf_job.
  bool mNoExtra = false;    ///< Neither hedge nor retry after a maybe-run.
  bool mFirstAlone = false; ///< One shard first, the others after its reply.
  bool mAlone = false;      ///< Shard by shard, each leaf running nothing else.
};

/** Runs queries; each blocks its worker. Thread safe; lock rank Tables. */
class root_service
{
public:
  root_service(const root_parts& aParts, const hedge_options& aHedge);

  /** Whether the manifest in force knows service, kind and tenant. */
  std::optional<bad_query> Check(const model::query& aQuery) const;

  /** The contract of a query that Check accepted; nothing if it has gone. */
  std::optional<model::contract> ContractOf(const model::query& aQuery) const;

  /** Takes a token of the tenant; an answer if it is over its limit. */
  std::optional<model::answer> Limit(const model::query& aQuery);

  /** Runs a query. Never call it on an I/O thread. */
  model::answer Run(const model::query& aQuery, const run_terms& aTerms);

  void OnMembers(int aLive);                         ///< Live instances.
  void OnManifest(const model::manifest& aManifest); ///< Tenants' limits.
  void RefreshSnapshots(); ///< Asks owners what is held. Call each second.

  /** How a query would be routed now, as JSON. */
  std::string Explain(const model::service_id& aService,
                      const model::kind_id& aKind);

private:
  /** Everything that one run pins. */
  struct pinned
  {
    model::manifest_ptr mManifest;
    const model::service* mService = nullptr;
    const model::contract* mContract = nullptr;
    cluster::ownership_ptr mOwners;
    model::instant mDeadline;
    model::index_version mSnapshot = 0;
  };
  /** The end of one fan-out. */
  struct run_end
  {
    policy::fanout_plan mPlan;
    policy::fanout_report mReport;
    bool mCanReplan = false;
    bool mMayHaveRun = false; ///< Some shard ran or may have run.
    int mLeafAttempts = 0;
  };

  bool Pin(const model::query& aQuery,
           const run_terms& aTerms,
           pinned& aOut) const;
  bool PinSnapshot(pinned& aPinned);
  run_end FanOut(const model::query& aQuery,
                 const run_terms& aTerms,
                 const pinned& aPinned);
  void FanOutPart(const model::query& aQuery,
                  const run_terms& aTerms,
                  const pinned& aPinned,
                  const policy::fanout_plan& aPart,
                  run_end& aEnd);
  policy::fanout_plan PlanOf(const model::query& aQuery, const pinned& aPinned);
  std::vector<policy::target_id> Candidates(const model::shard& aShard,
                                            const pinned& aPinned,
                                            std::size_t aTurn) const;
  void AskHeld(const model::service_id& aService,
               const cluster::ownership& aOwners,
               model::duration aWait);
  std::shared_ptr<shared_budget> Budget(const model::query& aQuery);
  void Record(const model::query& aQuery,
              const run_terms& aTerms,
              const model::answer& aAnswer,
              const pinned& aPinned,
              int aLeafAttempts);

  root_parts mParts;
  hedge_options mHedge;
  std::string mPrefix; ///< Of attempt ids; unique to this process.
  std::atomic<unsigned long> mNumber{ 0 }; ///< Fan-outs so far.
  ranked_mutex mMutex{ lock_rank::Tables };
  policy::workspace_limiter mLimiter;
  std::map<std::pair<model::service_id, model::kind_id>,
           std::shared_ptr<shared_budget>>
    mBudgets;
};

} // namespace monsooncroft::entry

#endif
