/**
 * @file fleet_membership_base.h
 * Who else is there.
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

/** Periods of the exchange between instances. */
struct fleet_membership_settings
{
  std::chrono::milliseconds mGossipPeriod{ 250 }; ///< Between two rounds.
  std::size_t mGossipFanout = 4;          ///< Members told in each round;
                                          ///< one of them anywhere.
  std::size_t mMembersPerMessage = 15;    ///< In full; the beats of others fill
  std::size_t mHeartbeatsPerMessage = 30; ///< the rest of a datagram.
  std::chrono::milliseconds mFailureTimeout{
    2'000
  }; ///< Then it counts as gone.
  std::chrono::milliseconds mRetentionPeriod{
    15'000
  }; ///< It may still hold
     ///< connections and budget.
};

/**
 * Membership by exchanged beat counters: each instance raises its own, each
 * round passes some of them on, and who was not heard of for some time is
 * taken as gone. Answers the load of instances that restart, freeze or are cut
 * off in dozens at a time: no central list, and the cost of a round does not
 * grow with the fleet.
 */
class fleet_membership
{
public:
  /**
   * @param aSelf This instance.
   * @param aSeeds Peer addresses that may be alive.
   * @param aSeed Of random choices.
   */
  fleet_membership(fleet_member aSelf,
                   std::vector<model::endpoint> aSeeds,
                   const fleet_membership_settings& aTerms,
                   std::uint64_t aSeed);

  /** Raises the own beat. @return To whom this round's message goes. */
  std::vector<model::endpoint> StartGossipRound(model::instant aNow);
  void OnMessage(const fleet_message& aMessage, model::instant aNow);
  /** The members that a message tells of, this one first, and the beats of
   * others. */
  fleet_message BuildMessage(model::instant aNow);

  void SetConfigVersion(std::uint64_t aVersion);
  void SetReachesStore(bool aReaches) { mSelf.mReachesStore = aReaches; }
  void SetSeeds(std::vector<model::endpoint> aSeeds);
  void SetLeaving() { mSelf.mLeaving = true; }

  const fleet_member& Self() const { return mSelf; }
  /** Members heard of lately, without this one. */
  std::vector<fleet_member> LiveMembers(model::instant aNow) const;
  /** Members that may be running, without this one. */
  std::vector<fleet_member> PossiblyLiveMembers(model::instant aNow) const;
  /** This one and all that may still hold connections or spend budget. */
  fleet_size FleetSize(model::instant aNow) const;
  /**
   * Place of this instance among those that reach the store; the first ones
   * call it for all.
   * @param aSalt Different for each duty.
   * @param aOwnDataCentre Only members of the own data centre count.
   */
  std::size_t DutyRank(const std::string& aSalt,
                       bool aOwnDataCentre,
                       model::instant aNow) const;
  /** A live member with a newer configuration, own data centre first. */
  std::optional<fleet_member> MemberWithNewerConfig(model::instant aNow) const;

private:
  struct known_member
  {
    fleet_member mMember;
    model::instant mLastContact;
    std::uint32_t mMemberHash = 0; ///< As in fleet_beat.
  };

  /** Calls a function with each member heard of within a time. */
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
  static known_member MakeKnownMember(const fleet_member& aMember,
                                      model::instant aNow);

  fleet_member mSelf;
  std::vector<model::endpoint> mSeeds;
  fleet_membership_settings mSettings;
  std::mt19937_64 mRandom;
  std::map<std::string, known_member>
    mOtherMembers; ///< By name, without this one.
};

} // namespace monsooncroft::serving

#endif
