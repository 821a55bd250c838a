/**
 * @file leaf_gate_base.h
 * The one place of an instance where work is admitted to a leaf.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_GATE_BASE_H
#define MONSOONCROFT_ENTRY_LEAF_GATE_BASE_H

#include "entry/leaf_job_type.h"
#include "entry/ranked_mutex_base.h"
#include "link/leaf_client_base.h"
#include "policy/admission_queue_base.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace monsooncroft::net {
class http_connector;
}

namespace monsooncroft::entry {

class leaf_observer;

/** How gates are set up. */
struct gate_options
{
  policy::admission_settings mAdmission;
  link::connection_settings mLink;
};

/** A leaf's queue and link together. Thread safe; lock rank Leaf. */
class leaf_gate : public std::enable_shared_from_this<leaf_gate>
{
public:
  using callback = std::function<void(const model::attempt_result&)>;

  /**
   * @param aConnector Connections and timers; outlives this.
   * @param aObserver Hears of each end; outlives this.
   * @param aLeaf The leaf.
   * @param aOptions Queue and connections.
   */
  leaf_gate(net::http_connector& aConnector,
            leaf_observer& aObserver,
            const model::leaf& aLeaf,
            const gate_options& aOptions);

  /** Asks for a slot and sends; @p aDone is called once. */
  void Submit(leaf_job aJob, callback aDone);
  void Cancel(const model::attempt_id& aAttempt);
  void SetDraining(bool aDraining);
  void SetSlots(int aSlots);
  void SetConnections(int aLimit); ///< A new share of the leaf's connections.
  void Probe(model::duration aTimeout, link::leaf_client::state_callback aDone);
  void ProbeLife(model::duration aTimeout,
                 link::leaf_client::probe_callback aDone);
  void OnTimer(); ///< Closes idle connections; call each second.

  const model::leaf& Leaf() const { return mLeaf; }
  model::duration EstimatedWait() const;
  std::size_t Connections() const { return mLink->Connections(); }

private:
  /** An attempt that has not ended. */
  struct pending
  {
    leaf_job mJob;
    callback mDone;
    bool mSent = false;
    model::instant mSentAt;
  };

  void SubmitAlone(const leaf_job& aJob, const callback& aDone);
  void StartAlone();
  void ExpireAlone(const model::attempt_id& aAttempt);
  policy::admission_effects EndAlone();
  void Carry(const policy::admission_effects& aEffects);
  void Dispatch(const model::attempt_id& aAttempt);
  void Refuse(const policy::refuse_effect& aEffect);
  void OnEnd(const model::attempt_id& aAttempt, const link::attempt_end& aEnd);
  void OnWake();
  void Schedule();

  net::http_connector& mConnector;
  leaf_observer& mObserver;
  const model::leaf mLeaf;
  std::shared_ptr<link::leaf_client> mLink;
  mutable ranked_mutex mMutex{ lock_rank::Leaf };
  policy::admission_queue mQueue;
  std::unordered_map<model::attempt_id, pending> mPending;
  std::optional<model::instant> mScheduled; ///< The wake-up asked for.
  bool mDraining = false; ///< As asked for; the queue also drains for mAlone.
  std::optional<model::attempt_id> mAlone; ///< Has or awaits the whole leaf.
};

} // namespace monsooncroft::entry

#endif
