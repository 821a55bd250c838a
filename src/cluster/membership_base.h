/**
 * @file membership_base.h
 * Failure detector within a data centre, after SWIM, and the states of all
 * members.
 */
#ifndef MONSOONCROFT_CLUSTER_MEMBERSHIP_BASE_H
#define MONSOONCROFT_CLUSTER_MEMBERSHIP_BASE_H

#include "cluster/cluster_core_type.h"
#include "cluster/member_table_base.h"
#include "cluster/message_type.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace monsooncroft::cluster {

/**
 * Membership of the cluster. Probes every member of the local data centre in
 * turn. Members of other data centres are probed there, and their states arrive
 * as claims. No I/O: packets are returned, time and seed are passed in.
 */
class membership
{
public:
  using packets = std::vector<packet>;

  /**
   * @param aSelf This instance; its incarnation is its wall-clock start.
   * @param aOptions Periods.
   * @param aSeed Seed of all random choices.
   */
  membership(member aSelf,
             const cluster_options& aOptions,
             std::uint64_t aSeed);

  packets OnTick(model::instant aNow);
  packets OnMessage(const message& aMessage,
                    const model::endpoint& aFrom,
                    model::instant aNow);
  void OnInstanceList(const std::vector<listed_instance>& aList,
                      model::instant aNow);
  /**
   * Merges a claim about a member; a claim that supersedes this instance's own
   * is refuted.
   * @return Whether the claim changed the table.
   */
  bool Merge(const member& aClaim, model::instant aNow);
  void Leave(model::instant aNow); ///< Marks this instance as leaving; peers
                                   ///< learn it from the next changes.
  /**
   * Handles a pause of this process: drops all probes, because an ack may have
   * waited unread, restarts the suspicion times, and raises the own
   * incarnation, which refutes a suspicion that peers may have.
   */
  void OnPause(model::duration aGap, model::instant aNow);

  const member& Self() const { return mSelf; }
  const member_table& Table() const { return mTable; }
  std::vector<member> TakeChanges(); ///< Takes the claims that changed since
                                     ///< the last call, to be gossiped.
  /**
   * Random live members of the local data centre without this instance, aCount
   * at most.
   */
  member_list PickLocalPeers(std::size_t aCount);
  std::optional<member> PickRemotePeer(); ///< A random live member of a random
                                          ///< remote data centre.
  std::size_t LocalMemberCount()
    const; ///< Live members of the local data centre, this instance included.
  std::optional<model::instant> LastContact()
    const; ///< Time of the last message from any peer.
  std::optional<model::instant> LastContactWith(
    const model::data_centre_id& aDataCentre) const;

private:
  struct probe
  {
    std::uint32_t mSequence = 0;
    member mTarget;
    model::instant mStart;
    bool mIndirect = false; ///< Other members were asked to ping the target.
  };
  struct relayed_probe ///< A ping sent on the request of another instance.
  {
    std::uint32_t mSequence = 0; ///< Sequence number of the requester's probe.
    model::endpoint mRequester;
    model::instance_id mTarget;
    model::instant mStart;
  };

  bool Apply(const member& aClaim, model::instant aNow);
  void Refute(incarnation aClaimed, model::instant aNow);
  void RecordState(const member& aClaim, model::instant aNow);
  void Suspect(const member& aTarget, model::instant aNow);
  void DeclareReplacedDead(const member& aClaim, model::instant aNow);
  void Declare(member aMember, member_state aState, model::instant aNow);
  void DeclareUnlistedDead(model::instant aNow);
  void ExpireSuspicions(model::instant aNow);
  void ExpireTombstones(model::instant aNow);
  void StartProbe(model::instant aNow, packets& aOut);
  void SendIndirectProbes(packets& aOut);
  void EndProbe(model::instant aNow);
  void NotifySuspectedSender(const member& aSender, packets& aOut) const;
  std::optional<member> NextProbeTarget();
  std::optional<member> RandomDeadMember();
  model::duration SuspicionTime() const;
  message MakeMessage(message_type aType, std::uint32_t aSequence) const;
  void OnPing(const message& aMessage,
              const model::endpoint& aFrom,
              packets& aOut);
  void OnAck(const message& aMessage,
             const model::endpoint& aFrom,
             packets& aOut);
  void OnPingRequest(const message& aMessage,
                     const model::endpoint& aFrom,
                     model::instant aNow,
                     packets& aOut);

  member mSelf;
  cluster_options mOptions;
  std::mt19937_64 mRandom;
  member_table mTable;
  std::vector<member> mChanges;
  /** Members still to probe in this round, in random order. */
  std::vector<model::instance_id> mProbeRound;
  std::optional<probe> mProbe;
  /** Key: sequence number of this instance's ping. */
  std::map<std::uint32_t, relayed_probe> mRelayedProbes;
  std::uint32_t mSequence = 0;
  std::optional<model::instant> mNextProbe;
  std::map<model::instance_id, model::instant> mSuspectSince;
  std::map<model::instance_id, model::instant> mDeadSince;
  std::set<model::instance_id> mListedIds; ///< Ids in the last instance list.
  std::map<model::instance_id, model::instant>
    mUnlistedSince; ///< Time since when a member of another data centre is
                    ///< missing from the instance list.
  /** Member that last claimed a peer address. */
  std::map<model::endpoint, model::instance_id> mIdByPeer;
  std::uint64_t mProbeCount = 0; ///< Probe periods so far.
  std::map<model::data_centre_id, model::instant> mLastContact;
};

} // namespace monsooncroft::cluster

#endif
