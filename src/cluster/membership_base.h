/**
 * @file membership_base.h
 * Failure detection within a data centre, after SWIM.
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
 * Who is there. Every member of the own data centre is probed in turn; members
 * of other data centres are judged by their own data centre, and their states
 * arrive as claims. Pure: packets are returned, time and seed are handed in.
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
  /** Takes a claim in; refutes one about this instance. */
  bool Merge(const member& aClaim, model::instant aNow);
  void Leave(model::instant aNow); ///< This instance is going; others learn
                                   ///< it from the next changes.
  /** After a pause: old probes prove nothing, and others may suspect us. */
  void OnPause(model::duration aGap, model::instant aNow);

  const member& Self() const { return mSelf; }
  const member_table& Table() const { return mTable; }
  std::vector<member> TakeChanges(); ///< Claims to spread since the last call.
  /** Random live members of the own data centre, without this one. */
  member_list PickLocalPeers(std::size_t aCount);
  std::optional<member> PickRemotePeer(); ///< A random live member of a random
                                          ///< other data centre.
  std::size_t LocalMemberCount()
    const; ///< Live members of the own data centre.
  std::optional<model::instant> LastContact()
    const; ///< When any peer was last heard.
  std::optional<model::instant> LastContactWith(
    const model::data_centre_id& aDataCentre) const;

private:
  struct probe
  {
    std::uint32_t mSequence = 0;
    member mTarget;
    model::instant mStart;
    bool mIndirect = false; ///< Others were asked.
  };
  struct relayed_probe ///< A ping made for another instance.
  {
    std::uint32_t mSequence = 0; ///< The asker's.
    model::endpoint mRequester;
    model::instance_id mTarget;
    model::instant mStart;
  };

  bool Apply(const member& aClaim, model::instant aNow);
  void Refute(incarnation aHeard, model::instant aNow);
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
  std::vector<model::instance_id> mProbeRound; ///< Targets left in this round.
  std::optional<probe> mProbe;
  std::map<std::uint32_t, relayed_probe> mRelayedProbes; ///< By own sequence.
  std::uint32_t mSequence = 0;
  std::optional<model::instant> mNextProbe;
  std::map<model::instance_id, model::instant> mSuspectSince;
  std::map<model::instance_id, model::instant> mDeadSince;
  std::set<model::instance_id> mListedIds; ///< In the last instance list.
  std::map<model::instance_id, model::instant>
    mUnlistedSince; ///< Members of other data centres that the list lacks.
  std::map<model::endpoint, model::instance_id> mIdByPeer; ///< Last claimant.
  std::uint64_t mProbeCount = 0; ///< Probes made so far.
  std::map<model::data_centre_id, model::instant> mLastContact;
};

} // namespace monsooncroft::cluster

#endif
