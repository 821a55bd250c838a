/**
 * @file owner_sender_base.h
 * Sends a query's attempts to the instances that own the leaves.
 */
#ifndef MONSOONCROFT_ENTRY_OWNER_SENDER_BASE_H
#define MONSOONCROFT_ENTRY_OWNER_SENDER_BASE_H

#include "cluster/member_view_base.h"
#include "entry/attempt_sender_base.h"
#include "entry/relay_type.h"
#include "entry/shared_budget_base.h"

#include <atomic>
#include <memory>

namespace monsooncroft::net {
class http_pool;
}

namespace monsooncroft::entry {

class owner_service;
class snapshot_table;
class target_table;

/** An owner as a target: an instance, and the data centre it is asked for. */
struct owner_target
{
  model::instance_id mInstance;
  model::data_centre_id mDataCentre; ///< Empty: leaves of all of them.

  policy::target_id ToTarget() const;
  static owner_target FromTarget(const policy::target_id& aTarget);

  bool operator==(const owner_target&) const = default;
};

/** What every sender of an instance uses; all outlives them. */
struct owner_links
{
  net::http_pool& mPool;
  owner_service& mLocal;
  snapshot_table& mSnapshots; ///< Learns from replies.
  target_table& mTargets;     ///< Learns from replies.
  model::instance_id mSelf;
  std::size_t mShardsPerMessage = 0; ///< To one owner; 0: all.
};

/** Batches the attempts for one owner into one message. */
class owner_sender
  : public attempt_sender
  , public std::enable_shared_from_this<owner_sender>
{
public:
  /**
   * @param aLinks Shared parts.
   * @param aView Members, for addresses.
   * @param aPattern The message but for shards and data centre.
   * @param aDeadline When the root needs the replies.
   * @param aBudget Learns latencies.
   */
  owner_sender(owner_links aLinks,
               cluster::member_view_ptr aView,
               relay_request aPattern,
               model::instant aDeadline,
               std::shared_ptr<shared_budget> aBudget);

  void Send(const std::vector<policy::send_effect>& aSends,
            const callback& aDone) override;
  void Cancel(const std::vector<policy::cancel_effect>& aCancels) override;

  int LeafAttempts() const { return mLeafAttempts; } ///< Sent by owners so far.

private:
  void SendTo(const owner_target& aOwner,
              const std::vector<policy::send_effect>& aSends,
              const callback& aDone);
  void Relay(const owner_target& aOwner,
             const relay_request& aRequest,
             const callback& aDone);
  void OnReply(const owner_target& aOwner,
               const relay_request& aRequest,
               const relay_reply& aReply,
               model::instant aStart,
               const callback& aDone);
  static void FailAll(const relay_request& aRequest,
                      model::attempt_outcome aOutcome,
                      const char* aReason,
                      const callback& aDone);

  owner_links mLinks;
  cluster::member_view_ptr mView;
  relay_request mPattern;
  model::instant mDeadline;
  std::shared_ptr<shared_budget> mBudget;
  std::atomic<int> mLeafAttempts{ 0 };
};

} // namespace monsooncroft::entry

#endif
