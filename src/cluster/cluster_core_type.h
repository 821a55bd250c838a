/**
 * @file cluster_core_type.h
 * Options and effects of an instance's part in the cluster.
 */
#ifndef MONSOONCROFT_CLUSTER_CLUSTER_CORE_TYPE_H
#define MONSOONCROFT_CLUSTER_CLUSTER_CORE_TYPE_H

#include "cluster/gossip_update_type.h"
#include "cluster/manifest_distribution_type.h"
#include "cluster/member_view_base.h"

#include <variant>
#include <vector>

namespace monsooncroft::cluster {

/** Longest datagram, below the smallest usual path MTU. */
constexpr std::size_t kMaxDatagramBytes = 1200;

/** Periods and limits. */
struct cluster_options
{
  std::chrono::milliseconds mProbePeriod{ 500 }; ///< One ping each.
  std::chrono::milliseconds mProbeTimeout{
    200
  };                         ///< Then others are asked to ping.
  int mIndirectProbes = 3;   ///< Others that are asked.
  int mSuspicionPeriods = 4; ///< Plus the logarithm of the members.
  std::chrono::milliseconds mTombstoneLifetime{
    600'000
  }; ///< Dead ones are kept.
  std::chrono::milliseconds mPauseThreshold{
    1'500
  }; ///< A longer gap between ticks means that this process was paused.
  std::chrono::milliseconds mGossipPeriod{ 200 }; ///< While there is news.
  std::chrono::milliseconds mAntiEntropyPeriod{ 1'000 };
  std::chrono::milliseconds mCallTimeout{ 1'000 }; ///< Calls between peers.
  int mGossipFanout = 2; ///< Peers of the own data centre each period.
  double mRemoteGossipPerPeriod = 4; ///< Gossip datagrams to other data centres
                                     ///< each period, from a whole data centre.
  double mRemoteDigestsPerPeriod = 8;   ///< Digests to other data centres each
                                        ///< anti-entropy period, likewise.
  std::size_t mGossipTableLimit = 4096; ///< Entries of the rumour table.
  std::chrono::milliseconds mHeadPollPeriod{
    1'500
  }; ///< A listener's reads of the head, in case its watch is broken.
  std::chrono::milliseconds mIsolatedPollPeriod{
    10'000
  }; ///< Reads of the head by an instance that hears no peer.
  std::chrono::milliseconds mStartupWait{
    2'000
  }; ///< A fresh instance waits so long for peers before its first adoption.
};

struct send_datagram ///< Send over UDP.
{
  model::endpoint mTo;
  std::string mBytes;
};
struct call_peer ///< Call a method at a peer; answer by OnReply.
{
  std::uint64_t mCallId = 0;
  model::endpoint mTo;
  std::string mMethod;
  std::string mParams; ///< JSON.
};
struct members_changed ///< A new view.
{
  member_view_ptr mView;
};
struct gossip_learned ///< News, from here or elsewhere.
{
  gossip_update mUpdate;
};
struct resumed_from_pause ///< This process stood still for a while.
{
  model::duration mGap;
};

/** What the shell has to do. A pull_text always goes to the platform here. */
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
