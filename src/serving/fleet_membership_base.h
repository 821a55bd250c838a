/**
 * @file fleet_membership_base.h
 * Gossip-based membership of entry instances.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_MEMBERSHIP_BASE_H
#define MONSOONCROFT_SERVING_FLEET_MEMBERSHIP_BASE_H

#include "model/time_type.h"
#include "serving/fleet_size_type.h"
#include "serving/fleet_type.h"

#include <map>
#include <optional>
#include <random>

namespace monsooncroft::serving {

/** Gossip periods and message limits. */
struct fleet_membership_settings
{
  std::chrono::milliseconds mGossipPeriod{ 250 }; ///< Between two rounds.
  std::size_t mGossipFanout = 4; ///< Members that receive a message in each
                                 ///< round; one of them in any data centre.
  std::size_t mMembersPerMessage = 15; ///< Members sent in full.
  /** Members sent as a heartbeat only, in the rest of the datagram. */
  std::size_t mHeartbeatsPerMessage = 30;
  /** A member without a new heartbeat for this time counts as unreachable. */
  std::chrono::milliseconds mFailureTimeout{ 2'000 };
  /** Time since its last heartbeat in which a member may still hold connections
   * and spend budget. */
  std::chrono::milliseconds mRetentionPeriod{ 15'000 };
  /** Time since its last heartbeat after which a member that did not announce
   * its end is taken as gone for good, not as cut off. */
  std::chrono::milliseconds mMaxCutPeriod{ 60'000 };
};

/**
 * Membership by gossip of heartbeat counters: each instance increments its own,
 * passes some of the known ones on in each round, and takes a member without a
 * new heartbeat for some time as unreachable. Keeps working when dozens of
 * instances restart, pause or are cut off at a time: there is no central list,
 * and the cost of a round does not grow with the fleet.
 */
class fleet_membership
{
public:
  /**
   * @param aSelf This instance.
   * @param aSeeds Peer addresses that may be alive.
   * @param aSeed Seed of the random generator.
   */
  fleet_membership(fleet_member aSelf,
                   std::vector<model::endpoint> aSeeds,
                   const fleet_membership_settings& aSettings,
                   std::uint64_t aSeed);

  /** Increments the own heartbeat.
   * @return Receivers of this round's message. */
  std::vector<model::endpoint> StartGossipRound(model::instant aNow);
  void OnMessage(const fleet_message& aMessage, model::instant aNow);
  /** @return A message with this instance first, random other members in full
   * and the heartbeats of further live ones. */
  fleet_message BuildMessage(model::instant aNow);

  void SetConfigVersion(std::uint64_t aVersion);
  void SetDirectoryRevision(model::store_revision aRevision);
  void SetReachesStore(bool aReaches);
  /** @param aPort 0 if this instance executes no queries for others. */
  void SetRelayPort(std::uint16_t aPort);
  void SetSeeds(std::vector<model::endpoint> aSeeds);
  std::size_t Seeds() const { return mSeeds.size(); }
  void SetLeaving();

  const fleet_member& Self() const { return mSelf; }
  /** Members whose heartbeat grew within the failure timeout, without this
   * instance. */
  std::vector<fleet_member> LiveMembers(model::instant aNow) const;
  /** Members whose heartbeat grew within the retention period, without this
   * instance. */
  std::vector<fleet_member> PossiblyLiveMembers(model::instant aNow) const;
  /** A random selection of PossiblyLiveMembers().
   * @param aMaxCount Members in it at most. */
  std::vector<fleet_member> RandomPossiblyLiveMembers(std::size_t aMaxCount,
                                                      model::instant aNow);
  /** Counts this instance and all possibly live members. */
  fleet_size FleetSize(model::instant aNow) const;
  /**
   * Rank of this instance among the live members that reach the store, by
   * rendezvous hash. The members of the lowest ranks carry out a duty, such as
   * reading the store, for all others.
   * @param aSalt Differs between duties.
   * @param aOwnDataCentre Rank among the members of the own data centre only.
   * @return 0 for the first.
   */
  std::size_t DutyRank(const std::string& aSalt,
                       bool aOwnDataCentre,
                       model::instant aNow) const;
  /**
   * The member that carries out a duty for the fleet, by rendezvous hash over
   * the live members and this instance.
   * @param aSalt Differs between duties.
   * @return Nothing if this instance is the one.
   */
  std::optional<fleet_member> DutyHolder(const std::string& aSalt,
                                         model::instant aNow) const;
  /** The member, possibly this instance, that takes the holder's place at once
   * if it fails: the next one by the same hash, in another data centre if there
   * is one.
   * @return Nothing if there is no other live member. */
  std::optional<fleet_member> DutyDeputy(const std::string& aSalt,
                                         model::instant aNow) const;
  /** Counts this instance and all members that may be running, also those that
   * have been unreachable for long. */
  std::size_t KnownInstances(model::instant aNow) const;
  /** Counts this instance and the live members. */
  std::size_t ReachableInstances(model::instant aNow) const;
  /** A live member with the newest configuration, preferably of the own data
   * centre; nothing if none is newer than the own one. */
  std::optional<fleet_member> MemberWithNewerConfig(model::instant aNow) const;
  /** A live member that knows newer leaf registrations, preferably of the own
   * data centre; nothing if none does. It need not know the newest ones: the
   * first instances that have them would be asked by all others. */
  std::optional<fleet_member> MemberWithNewerDirectory(
    model::instant aNow) const;

private:
  struct known_member
  {
    fleet_member mMember;
    model::instant mLastContact;   ///< Time of its last new heartbeat.
    std::uint32_t mMemberHash = 0; ///< As in member_heartbeat.

    void OnHeartbeat(std::uint64_t aHeartbeat, model::instant aNow);
    /** Takes a state of the same incarnation if it is newer. */
    void OnState(const fleet_member& aState);
  };

  /** Calls a function with each member that had contact within aTime. */
  template<class F>
  void ForEachMemberWithin(model::duration aTime,
                           model::instant aNow,
                           F aDo) const
  {
    for (const auto& [name, known] : mOtherMembers) {
      if (aNow - known.mLastContact <= aTime) {
        aDo(known.mMember);
      }
    }
  }
  std::vector<fleet_member> MembersWithin(model::duration aTime,
                                          model::instant aNow) const;
  /** Whether to ask the first of two members that have the same data. Spreads
   * the instances over the members, and changes for the next attempt. */
  bool IsPreferredSource(const fleet_member& aMember,
                         const fleet_member& aOther) const;
  /** Lets the changed state replace the one that others know. */
  void OnStateChanged() { mSelf.mStateHeartbeat = ++mSelf.mHeartbeat; }
  static known_member MakeKnownMember(const fleet_member& aMember,
                                      model::instant aNow);

  fleet_member mSelf;
  std::vector<model::endpoint> mSeeds;
  fleet_membership_settings mSettings;
  std::mt19937_64 mRandom;
  std::map<std::string, known_member> mOtherMembers; ///< By name, without self.
};

} // namespace monsooncroft::serving

#endif
