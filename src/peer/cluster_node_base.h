/**
 * @file cluster_node_base.h
 * Runs the cluster's state machines with a clock, threads and sockets.
 */
#ifndef MONSOONCROFT_PEER_CLUSTER_NODE_BASE_H
#define MONSOONCROFT_PEER_CLUSTER_NODE_BASE_H

#include "cluster/cluster_core_type.h"
#include "cluster/gossip_update_type.h"
#include "cluster/member_type.h"
#include "cluster/member_view_base.h"

#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::net {
class http_pool;
}

namespace monsooncroft::peer {

/** Reads the manifest store. Every call may block. Thread safe. */
class manifest_source
{
public:
  virtual ~manifest_source() = default;
  virtual cluster::head_answer ReadHead() = 0;
  /** Waits until the head differs from the one last returned, or until a
   * timeout that the implementation chooses. */
  virtual cluster::head_answer WatchHead() = 0;
  /** @return The text with hash @p aHash; nothing if it is absent or the store
   * does not respond. */
  virtual std::optional<std::string> ReadText(const std::string& aHash) = 0;
};

/** Receives changes of the cluster. Called in order on one thread of the node,
 * without the node's lock held. */
class cluster_listener
{
public:
  virtual ~cluster_listener() = default;
  /**
   * Applies a manifest.
   * @return False if the manifest is not valid; the previous manifest then
   * stays in force.
   */
  virtual bool OnManifest(const cluster::manifest_head& aHead,
                          const std::vector<cluster::chunk>& aChunks) = 0;
  virtual void OnMembers(const cluster::member_view_ptr& aView) = 0;
  virtual void OnGossipUpdate(const cluster::gossip_update& aUpdate) = 0;
  virtual void OnAlarm(cluster::alarm_kind aKind, const std::string& aText) = 0;
  virtual void OnPause(model::duration aGap) = 0;
};

/** Identity and options of this instance in the cluster. */
struct cluster_settings
{
  model::instance_id mId;
  model::data_centre_id mDataCentre;
  model::endpoint mPeerAddress; ///< The node binds its UDP port, the HTTP
                                ///< listener its TCP port.
  std::uint64_t mSeed = 0; ///< Seeds all random choices; 0 takes a seed from
                           ///< the clock and the instance id.
  cluster::cluster_options mOptions;
};

/** Objects that a cluster_node uses; all outlive it. */
struct cluster_dependencies
{
  net::http_pool& mPool; ///< For calls to peers.
  const cluster::manifest_format& mFormat;
  manifest_source& mSource;
  cluster_listener& mListener;
};

/** Runs cluster membership, gossip and manifest distribution for this instance.
 * Thread safe. */
class cluster_node
{
public:
  virtual ~cluster_node() = default;

  /**
   * Binds the UDP socket and starts the threads.
   * @throws net::net_error if the UDP socket cannot be bound.
   */
  static std::unique_ptr<cluster_node> Start(
    const cluster_settings& aSettings,
    const cluster_dependencies& aDependencies);

  virtual void OnInstanceList(
    const std::vector<cluster::listed_instance>& aList) = 0;
  /** Handles the body of POST /rpc. @return The body of the response. */
  virtual std::string HandleRpc(const std::string& aBody) = 0;
  virtual void Publish(const cluster::gossip_update& aUpdate) = 0;
  virtual void Leave() = 0; ///< Announces the departure to the peers; the node
                            ///< keeps running.
  virtual void Stop() = 0;  ///< Stops the threads.

  virtual cluster::member_view_ptr View() const = 0;
  virtual model::manifest_version ManifestVersion()
    const = 0; ///< Version of the manifest in force; 0 before the first.
  virtual std::vector<cluster::gossip_update> GossipUpdates(
    cluster::gossip_kind aKind) const = 0;
  virtual bool HasRecentContact(const model::data_centre_id& aDataCentre,
                                model::duration aWithin)
    const = 0; ///< Whether any instance of the data centre was in contact
               ///< within @p aWithin.
};

} // namespace monsooncroft::peer

#endif
