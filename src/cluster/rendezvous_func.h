/**
 * @file rendezvous_func.h
 * Rendezvous hashing: who is first for a key, with minimal movement when
 * members come and go.
 */
#ifndef MONSOONCROFT_CLUSTER_RENDEZVOUS_FUNC_H
#define MONSOONCROFT_CLUSTER_RENDEZVOUS_FUNC_H

#include "cluster/member_view_base.h"

#include <string_view>
#include <vector>

namespace monsooncroft::cluster {

/** Instances that hold the watch on the manifest head in each data centre. */
constexpr std::size_t kHeadWatchersPerDataCentre = 2;

/** Hash of a key or an id. */
std::uint64_t
HashOf(std::string_view aText);

/** Weight of a member for a key, from both hashes. */
std::uint64_t
RendezvousWeight(std::uint64_t aKeyHash, std::uint64_t aMemberHash);

/**
 * The members that take work with the highest weights for a key.
 * @param aKey The key.
 * @param aMembers Candidates; leaving and dead ones are passed over.
 * @param aCount How many at most.
 * @return Best first.
 */
std::vector<model::instance_id>
RankByRendezvous(std::string_view aKey,
                 const member_list& aMembers,
                 std::size_t aCount);

/** The data centre's listeners on the manifest head. */
std::vector<model::instance_id>
HeadWatchers(const model::data_centre_id& aDataCentre,
             const member_list& aMembers);

/**
 * The instance whose memory serves a bucket of request ids.
 * @param aBucket The bucket's name.
 * @param aMembers Candidates.
 * @return Its id, empty if no member takes work.
 */
model::instance_id
HomeOf(std::string_view aBucket, const member_list& aMembers);

} // namespace monsooncroft::cluster

#endif
