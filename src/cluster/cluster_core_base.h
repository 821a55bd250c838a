/**
 * @file cluster_core_base.h
 * Cluster protocol of one instance: membership, gossip and manifest
 * distribution over one set of messages.
 */
#ifndef MONSOONCROFT_CLUSTER_CLUSTER_CORE_BASE_H
#define MONSOONCROFT_CLUSTER_CLUSTER_CORE_BASE_H

#include "cluster/cluster_core_type.h"
#include "cluster/gossip_table_base.h"
#include "cluster/manifest_distribution_base.h"
#include "cluster/membership_base.h"
#include "cluster/retransmit_queue_base.h"

#include <map>
#include <optional>
#include <random>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace monsooncroft::cluster {

constexpr auto kMethodAntiEntropy = "anti_entropy";
constexpr auto kMethodPullChunk = "pull_chunk";
constexpr auto kMethodMemberSummary = "member_summary";

/**
 * The protocol without I/O, clocks or threads: every event returns the effects
 * that the node has to execute.
 */
class cluster_core
{
public:
  /**
   * @param aSelf This instance; its incarnation is its wall-clock start.
   * @param aFormat Reads heads and hashes texts; outlives the core.
   * @param aOptions Periods and limits.
   * @param aSeed Seed of all random choices.
   */
  cluster_core(const member& aSelf,
               const manifest_format& aFormat,
               const cluster_options& aOptions,
               std::uint64_t aSeed);

  cluster_effects OnTick(const moment& aNow);
  cluster_effects OnDatagram(const std::string& aBytes,
                             const model::endpoint& aFrom,
                             const moment& aNow);
  cluster_effects OnInstanceList(const std::vector<listed_instance>& aList,
                                 const moment& aNow);
  /** Ends a call_peer. Without a result the call failed. */
  cluster_effects OnReply(std::uint64_t aCall,
                          const std::optional<std::string>& aResult,
                          const moment& aNow);
  cluster_effects OnHead(const head_answer& aAnswer,
                         bool aWatch,
                         const moment& aNow);
  /** Ends a pull_text from the platform. Without a text the pull failed. */
  cluster_effects OnText(const std::string& aHash,
                         const std::optional<std::string>& aText,
                         const moment& aNow);
  cluster_effects OnAdopted(model::manifest_version aVersion,
                            bool aValid,
                            const moment& aNow);
  /** Marks this instance as leaving and gossips that at once. */
  cluster_effects Leave(const moment& aNow);
  /** Merges an update of this instance and gossips it at once. */
  cluster_effects Publish(const gossip_update& aUpdate, const moment& aNow);
  /**
   * Answers a call from a peer.
   * @param aMethod One of the kMethod names.
   * @param aParams Parameters as JSON.
   * @return The result as JSON.
   * @throws std::exception if the method is unknown or the parameters are
   * malformed.
   */
  std::string HandleCall(const std::string& aMethod,
                         const std::string& aParams) const;

  member_view_ptr View() const { return mMembership.Table().View(); }
  const membership& Members() const { return mMembership; }
  const gossip_table& GossipUpdates() const { return mGossipTable; }
  const manifest_distribution& Manifests() const { return mManifests; }

private:
  struct pending_call ///< A call to a peer that awaits its reply.
  {
    std::string mMethod;
    std::string mHash; ///< Hash of the requested text; pull_chunk only.
    model::endpoint mPeer;
    model::instant mStart;
  };

  void Send(const packet& aPacket, cluster_effects& aOut);
  void SendAll(const membership::packets& aPackets, cluster_effects& aOut);
  void StartCall(const pending_call& aCall,
                 const std::string& aParams,
                 cluster_effects& aOut);
  void StartPull(const pull_text& aPull,
                 const moment& aNow,
                 cluster_effects& aOut);
  void ExpireCalls(const moment& aNow, cluster_effects& aOut);
  void ForwardManifestEffects(const manifest_distribution::effects& aEffects,
                              const moment& aNow,
                              cluster_effects& aOut);
  void AnnounceHead(const moment& aNow, cluster_effects& aOut);
  void QueueMemberChanges(
    cluster_effects& aOut); ///< Queues changed members for gossip and reports a
                            ///< new view.
  void SendGossip(cluster_effects& aOut);
  void SendDigests(cluster_effects& aOut);
  void Join(const moment& aNow, cluster_effects& aOut);
  void MergeUpdate(const gossip_update& aUpdate,
                   const model::endpoint& aFrom,
                   const moment& aNow,
                   cluster_effects& aOut);
  void MergeItems(const message& aMessage,
                  const moment& aNow,
                  cluster_effects& aOut);
  void CompareDigest(const message& aMessage,
                     const moment& aNow,
                     cluster_effects& aOut);
  void RequestAntiEntropy(
    const model::endpoint& aPeer,
    const std::vector<model::data_centre_id>& aDataCentres,
    bool aAllDataCentres,
    const moment& aNow,
    cluster_effects& aOut);
  std::string AnswerAntiEntropy(const std::string& aParams) const;
  void OnAntiEntropyReply(const nlohmann::json& aItems,
                          const model::endpoint& aPeer,
                          const moment& aNow,
                          cluster_effects& aOut);
  void DiscardMemberChanges(); ///< Takes the member changes without gossiping
                               ///< them; only this instance's own entry is
                               ///< queued.
  digest_summary OwnDigests() const;
  distribution_context DistributionContext(const moment& aNow);
  int RetransmitLimit() const;
  bool Chance(double aProbability);

  cluster_options mOptions;
  std::mt19937_64 mRandom;
  membership mMembership;
  gossip_table mGossipTable;
  manifest_distribution mManifests;
  retransmit_queue mQueue;
  std::map<std::uint64_t, pending_call> mPendingCalls;
  std::uint64_t mLastCallId = 0;
  std::uint64_t mReportedEpoch = 0; ///< Epoch of the view last reported to the
                                    ///< node.
  std::optional<model::instant> mLastTick;
  std::optional<model::instant> mNextGossip;
  std::optional<model::instant> mNextDigest;
  std::optional<model::instant>
    mLastAntiEntropy;  ///< Start of the last anti-entropy call.
  int mPeersAsked = 0; ///< Number of peers that are asked for all their entries
                       ///< when this instance starts.
};

} // namespace monsooncroft::cluster

#endif
