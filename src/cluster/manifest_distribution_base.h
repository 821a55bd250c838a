/**
 * @file manifest_distribution_base.h
 * Distribution of manifests: from the platform and peers to this instance, and
 * from this instance to its peers.
 */
#ifndef MONSOONCROFT_CLUSTER_MANIFEST_DISTRIBUTION_BASE_H
#define MONSOONCROFT_CLUSTER_MANIFEST_DISTRIBUTION_BASE_H

#include "cluster/cluster_core_type.h"
#include "cluster/manifest_distribution_type.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsooncroft::cluster {

/** State of the cluster that the manifest distribution needs at a tick. */
struct distribution_context
{
  bool mWatchesHead = false; ///< This instance watches the platform's head.
  bool mIsolated = false;    ///< Other members exist, but there was no recent
                             ///< contact with any of them.
  int mPeersAsked = 0;       ///< Number of peers asked for their head when this
                             ///< instance started.
  std::vector<model::endpoint> mPeers; ///< Random peers to pull texts from.
};

/**
 * Adopts manifests of increasing version: learns of a head from the platform or
 * from peers, pulls the missing texts and hands complete manifests to the node.
 * No I/O: every event returns the effects to execute.
 */
class manifest_distribution
{
public:
  using effects = std::vector<distribution_effect>;

  manifest_distribution(const manifest_format& aFormat,
                        const cluster_options& aOptions,
                        std::uint64_t aSeed);

  effects OnTick(const distribution_context& aContext, model::instant aNow);
  /**
   * Ends a watch or a read of the platform's head.
   * @param aAnswer The platform's answer.
   * @param aWatch Whether a watch ended, not a read.
   * @param aNow Current time.
   */
  effects OnHead(const head_answer& aAnswer, bool aWatch, model::instant aNow);
  /** Handles a peer's announcement that it has a head in force. */
  effects OnPeerHead(model::manifest_version aVersion,
                     const std::string& aHash,
                     const model::endpoint& aPeer,
                     model::instant aNow);
  /**
   * Counts a startup request to a peer that ended, with or without an answer.
   */
  effects OnPeerAnswered(model::instant aNow);
  /**
   * Ends a pull of a text.
   * @param aHash Hash of the text.
   * @param aPeer The peer that was asked; absent: the platform.
   * @param aText The text; absent if the source does not have it or did not
   * answer.
   * @param aNow Current time.
   */
  effects OnText(const std::string& aHash,
                 const std::optional<model::endpoint>& aPeer,
                 const std::optional<std::string>& aText,
                 model::instant aNow);
  /**
   * Ends an adopt_manifest: the node put the manifest in force, or found it
   * invalid.
   */
  effects OnAdopted(model::manifest_version aVersion, bool aValid);

  /** Version in force; 0 before the first manifest. */
  model::manifest_version Version() const;
  /** Hash of the head in force; empty before the first manifest. */
  const std::string& HeadHash() const { return mHeadHash; }
  const std::string* FindText(
    const std::string& aHash) const; ///< Null if this instance does not hold
                                     ///< the text.

private:
  struct pull_state
  {
    int mAttempts = 0;
    bool mRunning = false;
    model::instant mNotBefore; ///< Earliest time of the next attempt.
  };
  struct target ///< A head with a higher version than the head in force.
  {
    model::manifest_version mVersion = 0;
    std::string mHash;
    std::optional<manifest_head> mHead;    ///< Absent until the head's text is
                                           ///< pulled.
    std::vector<model::endpoint> mHolders; ///< Peers that announced this head.
    bool mFromPlatform = false;
  };

  bool TrySetTarget(model::manifest_version aVersion,
                    const std::string& aHash,
                    effects& aOut);
  effects AdvanceTarget(model::instant aNow);
  void PullMissing(model::instant aNow, effects& aOut);
  std::optional<model::endpoint> ChooseSource(const pull_state& aPull);
  void ReadHead(effects& aOut);
  void HandlePlatformHead(const std::string& aText, effects& aOut);
  void SetTargetHead(const std::string& aText, effects& aOut);
  void RaiseAlarm(alarm_kind aKind, const std::string& aText, effects& aOut);
  std::chrono::milliseconds PollPeriod(
    const distribution_context& aContext) const;
  model::duration Jitter(std::chrono::milliseconds aPeriod);
  bool MayAdopt(model::instant aNow) const;
  void DropUnreferencedTexts();
  std::vector<std::string> MissingHashes() const;

  const manifest_format& mFormat;
  cluster_options mOptions;
  std::mt19937_64 mRandom;
  std::optional<manifest_head> mHeadInForce;
  std::string mHeadHash; ///< Hash of the head in force.
  std::optional<target> mTarget;
  std::optional<target> mPendingAdoption;    ///< Manifest handed to the node,
                                             ///< until OnAdopted.
  std::map<std::string, std::string> mTexts; ///< Key: hash of the text.
  std::map<std::string, pull_state> mPulls;  ///< Key: hash of the text.
  std::set<std::pair<model::manifest_version, std::string>>
    mRejectedHeads; ///< Version and hash of invalid manifests, which are not
                    ///< tried again.
  std::vector<model::endpoint> mPeers;
  std::optional<model::instant> mStartTime;
  bool mPlatformAnswered = false;
  int mPeersAnswered = 0;
  int mPeersAsked = 0;
  std::string mLastAlarm; ///< Text of the last alarm, which is not raised twice
                          ///< in a row.
  bool mWatchPending = false;
  bool mReadPending = false;
  std::optional<model::instant> mNextWatch;
  std::optional<model::instant> mNextRead;
};

} // namespace monsooncroft::cluster

#endif
