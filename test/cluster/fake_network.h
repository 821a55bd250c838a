/**
 * @file fake_network.h
 * Simulated instances on one virtual clock with seeded delay, loss, partitions
 * and pauses, and a fake platform.
 */
#ifndef MONSOONCROFT_TEST_CLUSTER_FAKE_NETWORK_H
#define MONSOONCROFT_TEST_CLUSTER_FAKE_NETWORK_H

#include "cluster/cluster_core_base.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsooncroft::test {

using namespace std::chrono_literals;
using cluster::moment;

/** Heads in the form "version name=hash ...". */
class fake_format : public cluster::manifest_format
{
public:
  std::optional<cluster::manifest_head> ParseHead(
    const std::string& aText) const override;
  std::string Hash(const std::string& aText) const override;
};

/** The platform's store of manifests. */
struct fake_platform
{
  std::string mHead;                     ///< Empty before the first Apply.
  std::optional<std::string> mStaleHead; ///< If set, reads return it instead of
                                         ///< mHead.
  std::map<std::string, std::string> mTexts;
  std::string mPadding; ///< Appended to changed chunks to make them longer.
  bool mUp = true;
  bool mWatchFires = true;
  /** Data centres that cannot reach the platform. */
  std::set<model::data_centre_id> mUnreachableFrom;
  int mReads = 0;
  model::duration mDelay = 5ms; ///< Delay of a read or a failed watch.

  /**
   * Stores a manifest of three chunks, one of them the same in every version,
   * and makes it the head.
   */
  void Apply(model::manifest_version aVersion);
};

/** One simulated instance. */
struct fake_instance
{
  cluster::member mSelf;
  std::unique_ptr<cluster::cluster_core> mCore;
  bool mUp = true;
  model::instant mPausedUntil;
  std::vector<model::manifest_version> mAdopted;
  std::vector<cluster::alarm_kind> mAlarms;
  std::map<cluster::gossip_key, model::instant> mLearnedAt;
  bool mWatching = false;
  std::uint64_t mSentMessages = 0;    ///< Datagrams and calls sent.
  std::uint64_t mSentBytes = 0;       ///< Bytes sent, with protocol headers.
  std::uint64_t mLongestDatagram = 0; ///< Length of the longest datagram sent,
                                      ///< in bytes.
};

/** All instances, the platform and the packets between them. */
class fake_network
{
public:
  explicit fake_network(std::uint64_t aSeed);

  fake_instance& Add(const std::string& aId,
                     const std::string& aDataCentre,
                     std::uint16_t aPort);
  /** Adds instances named "<dc>-<n>" and publishes the list of them all. */
  void AddMany(int aDataCentres, int aEach);
  void Kill(const std::string& aId) { mInstances.at(aId).mUp = false; }
  void PublishInstanceList(); ///< Gives every instance the list of the
                              ///< instances that are up.
  void Run(std::chrono::milliseconds aTime);
  /** Runs until the condition holds. @return The time it took, or the limit. */
  std::chrono::milliseconds RunUntil(const std::function<bool()>& aCondition,
                                     std::chrono::milliseconds aLimit);
  void Partition(
    std::function<bool(const cluster::member&, const cluster::member&)>
      aIsCut); ///< Returns whether packets from one member to another are lost.
  moment Now() const;
  void Execute(fake_instance& aInstance,
               const cluster::cluster_effects& aEffects);

  /** Ids of the members that take work in the view of an instance. */
  std::set<std::string> SeenBy(const std::string& aId) const;
  /**
   * Whether every instance that is up sees exactly the instances that are up.
   */
  bool Converged() const;
  bool AllInForce(model::manifest_version aVersion) const;

  std::map<std::string, fake_instance> mInstances;
  fake_platform mPlatform;
  std::vector<cluster::listed_instance>
    mStaleListEntries; ///< Instances in the list that do not exist any more.
  double mLoss = 0;    ///< Chance that a packet is lost.

private:
  enum class transport
  {
    Udp, ///< Lost datagrams are not sent again.
    Tcp, ///< Lost packets are sent again.
  };
  using task = std::function<void()>;
  struct event
  {
    model::instant mAt;
    std::uint64_t mOrder;
    task mTask;
    bool operator<(const event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  void Schedule(model::instant aTime, task aTask);
  void Tick(const std::string& aId);
  void Deliver(const cluster::member& aFrom,
               const model::endpoint& aTo,
               transport aTransport,
               std::function<void(fake_instance&)> aAction);
  fake_instance* InstanceAt(const model::endpoint& aPeer);
  bool LosesPacket();
  void CallPeer(fake_instance& aFrom, const cluster::call_peer& aCall);
  void RequestHead(fake_instance& aFrom, bool aWatch);
  void RunLater(const std::string& aId,
                model::duration aDelay,
                std::function<void(fake_instance&)> aAction);

  std::mt19937_64 mRandom;
  fake_format mFormat;
  model::instant mNow{ 1'000s };
  std::uint64_t mOrder = 0;
  std::map<model::endpoint, std::string> mIdByPeer;
  std::priority_queue<event> mEvents;
  std::function<bool(const cluster::member&, const cluster::member&)> mIsCut;
};

} // namespace monsooncroft::test

#endif
