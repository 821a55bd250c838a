/**
 * @file manifest_distribution_base.h
 * How manifests reach this instance and go on from it.
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

/** What the spread needs to know about the cluster at a tick. */
struct distribution_context
{
  bool mWatchesHead = false; ///< This instance holds a watch.
  bool mIsolated = false;    ///< Others exist, but none was heard for a while.
  int mPeersAsked = 0;       ///< Peers that were asked for their head at start.
  std::vector<model::endpoint> mPeers; ///< Some random peers.
};

/**
 * Adopts ever higher manifests: learns of a head from the platform or from
 * peers, pulls the texts it lacks, and hands on whole manifests. Pure.
 */
class manifest_distribution
{
public:
  using effects = std::vector<distribution_effect>;

  manifest_distribution(const manifest_format& aFormat,
                        const cluster_options& aOptions,
                        std::uint64_t aSeed);

  effects OnTick(const distribution_context& aContext, model::instant aNow);
  /** The end of a watch or a read of the platform's head. */
  effects OnHead(const head_answer& aAnswer, bool aWatch, model::instant aNow);
  /** A peer says that this head is in force there. */
  effects OnPeerHead(model::manifest_version aVersion,
                     const std::string& aHash,
                     const model::endpoint& aPeer,
                     model::instant aNow);
  /** A peer was asked for its head and answered or not; counted at start. */
  effects OnPeerAnswered(model::instant aNow);
  /** The end of a pull; no text: that source has not got it. */
  effects OnText(const std::string& aHash,
                 const std::optional<model::endpoint>& aPeer,
                 const std::optional<std::string>& aText,
                 model::instant aNow);
  /** The shell put a manifest in force or found it invalid. */
  effects OnAdopted(model::manifest_version aVersion, bool aValid);

  model::manifest_version Version() const; ///< In force; 0: none, not ready.
  const std::string& HeadHash() const { return mHeadHash; } ///< Of that head.
  const std::string* FindText(
    const std::string& aHash) const; ///< Null if not held.

private:
  struct pull_state
  {
    int mAttempts = 0;
    bool mRunning = false;
    model::instant mNotBefore; ///< Not before.
  };
  struct target ///< A head that is higher than the one in force.
  {
    model::manifest_version mVersion = 0;
    std::string mHash;
    std::optional<manifest_head> mHead;    ///< Absent until its text is here.
    std::vector<model::endpoint> mHolders; ///< Those that said they hold it.
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
  std::string mHeadHash; ///< Of the head in force.
  std::optional<target> mTarget;
  std::optional<target> mPendingAdoption;    ///< Handed to the shell.
  std::map<std::string, std::string> mTexts; ///< By hash.
  std::map<std::string, pull_state> mPulls;  ///< By hash.
  std::set<std::pair<model::manifest_version, std::string>>
    mRejectedHeads; ///< Invalid manifests, not tried again.
  std::vector<model::endpoint> mPeers;
  std::optional<model::instant> mStartTime;
  bool mPlatformAnswered = false;
  int mPeersAnswered = 0;
  int mPeersAsked = 0;
  std::string mLastAlarm; ///< Not raised again until another one was.
  bool mWatchPending = false;
  bool mReadPending = false;
  std::optional<model::instant> mNextWatch;
  std::optional<model::instant> mNextRead;
};

} // namespace monsooncroft::cluster

#endif
