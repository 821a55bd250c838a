/**
 * @file cluster_core_type.h
 * Options and effects of the cluster core.
 */
#ifndef MONSOONCROFT_CLUSTER_CLUSTER_CORE_TYPE_H
#define MONSOONCROFT_CLUSTER_CLUSTER_CORE_TYPE_H

#include "cluster/gossip_update_type.h"
#include "cluster/manifest_distribution_type.h"
#include "cluster/member_view_base.h"

#include <variant>
#include <vector>

namespace monsooncroft::cluster {

/** Longest datagram, below the smallest common path MTU. */
constexpr std::size_t kMaxDatagramBytes = 1200;

/** Periods, timeouts and limits of the cluster protocol. */
struct cluster_options
{
  /** One member is pinged each period. */
  std::chrono::milliseconds mProbePeriod{ 500 };
  /** Without an ack after this time, other members are asked to ping the
   * target. */
  std::chrono::milliseconds mProbeTimeout{ 200 };
  int mIndirectProbes = 3;   ///< Members that are asked for an indirect ping.
  int mSuspicionPeriods = 4; ///< Probe periods until a suspect counts as dead;
                             ///< the bit width of the member count is added.
  /** How long dead members stay in the table. */
  std::chrono::milliseconds mTombstoneLifetime{ 600'000 };
  /** A longer gap between two ticks means that this process was paused. */
  std::chrono::milliseconds mPauseThreshold{ 1'500 };
  /** Period of gossip while items are queued. */
  std::chrono::milliseconds mGossipPeriod{ 200 };
  std::chrono::milliseconds mAntiEntropyPeriod{ 1'000 };
  /** Timeout of a call to a peer. */
  std::chrono::milliseconds mCallTimeout{ 1'000 };
  int mGossipFanout = 2; ///< Local peers that get gossip each period.
  double mRemoteGossipPerPeriod = 4;  ///< Expected gossip datagrams to other
                                      ///< data centres each gossip period, from
                                      ///< all instances of a data centre
                                      ///< together.
  double mRemoteDigestsPerPeriod = 8; ///< Expected digests to other data
                                      ///< centres each anti-entropy period,
                                      ///< from all instances of a data centre
                                      ///< together.
  std::size_t mGossipTableLimit = 4096; ///< Most entries in the gossip table.
  /** Period in which a head watcher also reads the head, in case its watch is
   * broken. */
  std::chrono::milliseconds mHeadPollPeriod{ 1'500 };
  /** Period in which an isolated instance, or one without a manifest, reads the
   * head. */
  std::chrono::milliseconds mIsolatedPollPeriod{ 10'000 };
  /** Longest time that a new instance waits for the platform and its peers to
   * answer before it adopts its first manifest. */
  std::chrono::milliseconds mStartupWait{ 2'000 };
};

struct send_datagram ///< Sends a datagram over UDP.
{
  model::endpoint mTo;
  std::string mBytes;
};
struct call_peer ///< Calls a method of a peer; the node hands the result to
                 ///< OnReply.
{
  std::uint64_t mCallId = 0;
  model::endpoint mTo;
  std::string mMethod;
  std::string mParams; ///< Parameters as JSON.
};
struct members_changed ///< Reports a new view of the members.
{
  member_view_ptr mView;
};
struct gossip_learned ///< Reports an update that changed the gossip table.
{
  gossip_update mUpdate;
};
struct resumed_from_pause ///< Reports that this process was paused.
{
  model::duration mGap;
};

/**
 * What the node has to execute. Here a pull_text always goes to the platform;
 * pulls from peers are a call_peer.
 */
using cluster_effect = std::variant<send_datagram,
                                    call_peer,
                                    members_changed,
                                    gossip_learned,
                                    resumed_from_pause,
                                    watch_head,
                                    read_head,
                                    pull_text,
                                    adopt_manifest,
                                    raise_alarm>;
using cluster_effects = std::vector<cluster_effect>;

} // namespace monsooncroft::cluster

#endif
