/**
 * @file cluster_node_base.h
 * The shell around the cluster's state machines: clock, threads, sockets.
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

/** Reads the manifest store; every call may block. Thread safe. */
class manifest_source
{
public:
  virtual ~manifest_source() = default;
  virtual cluster::head_answer ReadHead() = 0;
  /** Waits until the head differs from what this source last gave, or for a
   * while of its own choosing. */
  virtual cluster::head_answer WatchHead() = 0;
  /** @return The text at an address, nothing if absent or no answer. */
  virtual std::optional<std::string> ReadText(const std::string& aHash) = 0;
};

/** Hears of changes; called on the node's threads, never under its lock. */
class cluster_listener
{
public:
  virtual ~cluster_listener() = default;
  /**
   * Puts a manifest in force.
   * @return False if it is not valid; the one before then stays in force.
   */
  virtual bool OnManifest(const cluster::manifest_head& aHead,
                          const std::vector<cluster::chunk>& aChunks) = 0;
  virtual void OnMembers(const cluster::member_view_ptr& aView) = 0;
  virtual void OnGossipUpdate(const cluster::gossip_update& aRumour) = 0;
  virtual void OnAlarm(cluster::alarm_kind aKind, const std::string& aText) = 0;
  virtual void OnPause(model::duration aGap) = 0;
};

/** Who this instance is. */
struct cluster_settings
{
  model::instance_id mId;
  model::data_centre_id mDataCentre;
  model::endpoint mPeerAddress; ///< Peer address; UDP is bound by the node, TCP
                                ///< by the HTTP listener.
  std::uint64_t mSeed = 0; ///< Of all random choices; 0: from the clock.
  cluster::cluster_options mOptions;
};

/** What the node uses; everything outlives it. */
struct cluster_dependencies
{
  net::http_pool& mPool; ///< For calls to peers.
  const cluster::manifest_format& mFormat;
  manifest_source& mSource;
  cluster_listener& mListener;
};

/** An instance's part in the cluster, running. Thread safe. */
class cluster_node
{
public:
  virtual ~cluster_node() = default;

  /**
   * Binds the UDP socket and starts the threads.
   * @throws net::net_error if the address cannot be bound.
   */
  static std::unique_ptr<cluster_node> Start(
    const cluster_settings& aSettings,
    const cluster_dependencies& aParts);

  virtual void OnInstanceList(
    const std::vector<cluster::listed_instance>& aList) = 0;
  /** Answers the body of POST /rpc. */
  virtual std::string HandleRpc(const std::string& aBody) = 0;
  virtual void Publish(const cluster::gossip_update& aRumour) = 0;
  virtual void Leave() = 0; ///< Tells the others; the node goes on running.
  virtual void Stop() = 0;  ///< Ends the threads.

  virtual cluster::member_view_ptr View() const = 0;
  virtual model::manifest_version ManifestVersion()
    const = 0; ///< 0: not ready.
  virtual std::vector<cluster::gossip_update> GossipUpdates(
    cluster::gossip_kind aKind) const = 0;
  virtual bool HasRecentContact(const model::data_centre_id& aDataCentre,
                                model::duration aWithin)
    const = 0; ///< Whether any instance there was heard from lately.
};

} // namespace monsooncroft::peer

#endif
