/**
 * @file leaf_table_base.h
 * Every leaf this instance talks to, and what is known of it.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_TABLE_BASE_H
#define MONSOONCROFT_ENTRY_LEAF_TABLE_BASE_H

#include "entry/leaf_gate_base.h"
#include "entry/leaf_observer_base.h"
#include "entry/shared_budget_base.h"
#include "model/manifest_base.h"
#include "policy/drain_table_base.h"
#include "policy/replica_chooser_base.h"
#include "policy/snapshot_view_base.h"
#include "policy/warmup_table_base.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace monsooncroft::entry {

/** Versions of one shard that one leaf holds. */
struct held_row
{
  model::shard_id mShard;
  model::leaf_id mLeaf;
  std::vector<model::index_version> mHeld;
};

/** A connection that died, or was refused, with the fate of its attempt. */
struct leaf_loss
{
  model::leaf_id mLeaf;
  leaf_job mJob; ///< The attempt in flight.
  bool mConnectRefused = false;
  bool mConnectionDied = false;
};

/** Leaves of the manifest in force. Thread safe; lock rank Tables. */
class leaf_table : public leaf_observer
{
public:
  /** Takes over the release of the attempt's end. */
  using loss_listener = std::function<void(const leaf_loss&, release)>;
  /** Why a job may not be sent now; null if it may. */
  using send_guard = std::function<const char*(const leaf_job&)>;
  using boot_listener =
    std::function<void(const model::leaf_id&, const policy::boot_id&)>;

  /**
   * @param aConnector Connections and timers; outlives this.
   * @param aOptions Queues and links; the connection limit is set by share.
   * @param aHedge Hedging at leaves.
   */
  leaf_table(net::http_connector& aConnector,
             const gate_options& aOptions,
             const hedge_options& aHedge);

  void SetLosses(loss_listener aListener);           ///< @pre Before any work.
  void SetBoots(boot_listener aListener);            ///< @pre Before any work.
  void SetGuard(send_guard aGuard);                  ///< @pre Before any work.
  const char* Objection(const leaf_job& aJob) const; ///< The guard's word.

  /**
   * Takes over a manifest: leaves that left it are forgotten.
   * @param aManifest The manifest.
   * @param aOwners Instances among which each leaf's connections are shared.
   */
  void Adopt(const model::manifest& aManifest, int aOwners);

  std::shared_ptr<leaf_gate> Gate(
    const model::leaf_id& aLeaf); ///< Null if not declared.

  /** The leaves of a shard worth trying, best first; none that is leaving. */
  std::vector<policy::target_id> Order(
    const std::vector<model::leaf_id>& aReplicas,
    const model::data_centre_id& aLocal);

  /** Leaves by the platform's list: those it shows leaving, and live ones. */
  void OnList(const std::set<model::leaf_id>& aLeaving,
              const std::set<model::leaf_id>& aLive);
  void OnMark(const policy::drain_mark& aMark); ///< From another instance.
  std::vector<policy::drain_mark> Marks() const;

  std::vector<held_row> Held(const model::service_id& aService) const;
  std::shared_ptr<shared_budget> Budget(const model::service_id& aService,
                                        const model::kind_id& aKind);

  /** Asks the leaves for their state; due ones only. Call each second. */
  void Tick(const std::set<model::leaf_id>& aOwned);
  /** Asks a leaf at once whether it lives; false if it is not declared. */
  bool AskLife(const model::leaf_id& aLeaf,
               model::duration aTimeout,
               link::leaf_client::probe_callback aDone);
  /** Whether each of these has been asked for its state, answered or not. */
  bool Looked(const std::set<model::leaf_id>& aLeaves) const;
  std::size_t Connections() const; ///< Open ones, over all leaves.

  void OnAttemptEnd(const model::leaf& aLeaf,
                    const leaf_job& aJob,
                    const link::attempt_end& aEnd,
                    model::duration aTook,
                    release aRelease) override;

private:
  /** One leaf. */
  struct entry
  {
    model::leaf mLeaf;
    model::service_id mService;
    std::shared_ptr<leaf_gate> mGate; ///< Made at the first use.
    std::map<model::shard_id, std::vector<model::index_version>> mHeld;
    bool mLooked = false; ///< A question for its state has ended.
  };

  void Probe(const model::leaf_id& aLeaf);
  void OnState(const model::leaf_id& aLeaf,
               const std::optional<link::leaf_state>& aState);
  void OnReport(const model::leaf_id& aLeaf,
                const policy::boot_id& aBoot,
                bool aDraining);
  void ApplyDrain(const model::leaf_id& aLeaf);
  std::shared_ptr<leaf_gate> GateLocked(entry& aEntry);

  net::http_connector& mConnector;
  gate_options mOptions;
  hedge_options mHedge;
  loss_listener mOnLoss;
  boot_listener mOnBoot;
  send_guard mGuard;
  mutable ranked_mutex mMutex{ lock_rank::Tables };
  std::map<model::leaf_id, entry> mLeaves;
  int mOwners = 1;
  policy::drain_table mDrains;
  policy::warmup_table mWarmup;
  policy::replica_chooser mChooser;
  std::map<model::leaf_id, policy::boot_id> mBoots;
  std::map<std::pair<model::service_id, model::kind_id>,
           std::shared_ptr<shared_budget>>
    mBudgets;
};

} // namespace monsooncroft::entry

#endif
