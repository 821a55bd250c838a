/**
 * @file rendezvous_func.h
 * Rendezvous hashing: ranks the members for a key, with few changes when a
 * member joins or leaves.
 */
#ifndef MONSOONCROFT_CLUSTER_RENDEZVOUS_FUNC_H
#define MONSOONCROFT_CLUSTER_RENDEZVOUS_FUNC_H

#include "cluster/member_view_base.h"

#include <string_view>
#include <vector>

namespace monsooncroft::cluster {

/** Instances in each data centre that watch the manifest head. */
constexpr std::size_t kHeadWatchersPerDataCentre = 2;

/** Hashes a key or an id. */
std::uint64_t
HashOf(std::string_view aText);

/** Returns the rendezvous weight of a member for a key. */
std::uint64_t
RendezvousWeight(std::uint64_t aKeyHash, std::uint64_t aMemberHash);

/**
 * Returns the members with the highest rendezvous weights for a key.
 * @param aKey The key.
 * @param aMembers Candidates; leaving and dead members are skipped.
 * @param aCount Most members to return.
 * @return Ids, highest weight first.
 */
std::vector<model::instance_id>
RankByRendezvous(std::string_view aKey,
                 const member_list& aMembers,
                 std::size_t aCount);

/** Returns the instances of a data centre that watch the manifest head. */
std::vector<model::instance_id>
HeadWatchers(const model::data_centre_id& aDataCentre,
             const member_list& aMembers);

/**
 * Returns the instance that keeps the answers for a bucket of request ids in
 * memory.
 * @param aBucket The bucket's name.
 * @param aMembers Candidates.
 * @return The instance's id; empty if no member takes work.
 */
model::instance_id
HomeOf(std::string_view aBucket, const member_list& aMembers);

} // namespace monsooncroft::cluster

#endif
