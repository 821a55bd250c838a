/**
 * @file quota_agent_base.h
 * Admits requests of workspaces: reports to and asks the quotas' keepers.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_AGENT_BASE_H
#define MONSOONCROFT_SERVING_QUOTA_AGENT_BASE_H

#include "serving/quota_gate_base.h"
#include "serving/quota_keeper_base.h"

#include <functional>
#include <map>
#include <utility>

namespace monsooncroft::serving {

/** What an instance knows of one workspace's quota. */
struct quota_status
{
  quota_limit mLimit;
  std::optional<double> mLevel; ///< Requests that the bucket allows.
  std::optional<model::duration> mLevelAge;
  model::endpoint mIssuer; ///< This instance's own, if it issues.
  std::optional<model::duration> mIssuerHeardAge;
  /** "unlimited", "open", "restricted", "unheard" (asks first) or "own share".
   */
  const char* mState = "unlimited";
};

/**
 * The part of a quota that runs on each instance. Collects what one event loop
 * iteration admitted and asked into one message for each keeper. Lost messages
 * and slow issuers are met by a second attempt at issuer and deputy; without
 * any reply, requests are decided by the own share. All times are of a clock
 * that goes on while the machine is suspended.
 */
class quota_agent
{
public:
  using callback = std::function<void(const quota_outcome&)>;

  /** @param aSeed Differs between processes, also between those of one
   * instance, and increases from one process of an instance to the next. */
  quota_agent(quota_peers& aPeers,
              quota_observer& aObserver,
              const quota_settings& aSettings,
              std::uint64_t aSeed);

  void SetLimits(const quota_ledger::limits& aLimits, model::instant aNow);
  /** Decides on a request, at once or after Flush().
   * @return Whether Flush() has something to do. */
  bool Admit(workspace_hash aWorkspace,
             const quota_limit& aLimit,
             callback aDone,
             model::instant aNow);
  /** Sends what was collected. */
  void Flush(model::instant aNow);
  /** Handles a message of a peer.
   * @param aSender Identifies the process that sent it. */
  void OnMessage(const quota_message& aMessage,
                 std::uint64_t aSender,
                 const model::endpoint& aFrom,
                 model::instant aNow);
  /** Must be called regularly, and at NextTimer(). */
  void OnTimer(model::instant aNow);
  std::optional<model::instant> NextTimer() const;
  quota_status Status(workspace_hash aWorkspace,
                      const quota_limit& aLimit,
                      model::instant aNow) const;

private:
  /** A request that waits for a decision. */
  struct waiting
  {
    workspace_hash mWorkspace = 0;
    quota_limit mLimit;
    callback mDone;
  };
  /** A message whose reply has not come yet. */
  struct open_exchange
  {
    quota_request mRequest;
    std::vector<waiting> mWaiting;
    model::instant mFirstSentAt;
    model::instant mDeadline; ///< Of this attempt.
    bool mIsSecond = false;
    /** Of the deputy; counts if the issuer does not reply. */
    std::optional<quota_reply> mProvisional;
    bool mIsExtended = false; ///< The deadline passed while this process stood.
  };
  struct group_state
  {
    std::vector<waiting> mAsking; ///< Since the last flush.
    std::unordered_map<workspace_hash, quota_limit> mChanged; ///< To report.
    model::instant mNextWarning;
  };

  bool IsSilent(const model::endpoint& aPeer, model::instant aNow) const;
  void SetSilent(const model::endpoint& aPeer, model::instant aNow);
  void FlushGroup(quota_group aGroup, model::instant aNow);
  void SendFirst(quota_request aRequest,
                 std::vector<waiting> aWaiting,
                 model::instant aNow);
  void SendSecond(std::uint64_t aId, model::instant aNow);
  void Send(const quota_keeper_address& aTo,
            quota_request aRequest,
            bool aWantsReply,
            model::instant aNow);
  void OnReply(const quota_reply& aReply,
               const model::endpoint& aFrom,
               model::instant aNow);
  void OnProvisionalReply(const quota_reply& aReply, model::instant aNow);
  void OnRefusedReply(const quota_reply& aReply,
                      const model::endpoint& aFrom,
                      model::instant aNow);
  /** Decides on the waiting requests; on those that were not granted only if
   * the reply is final. */
  void Settle(open_exchange& aExchange,
              const quota_reply& aReply,
              model::instant aNow);
  void Fail(open_exchange& aExchange, model::instant aNow);
  void DecideByOwnShare(const waiting& aRequest, model::instant aNow);
  void Finish(const waiting& aRequest,
              const quota_outcome& aOutcome,
              quota_source aSource,
              model::instant aNow);
  void CheckGap(model::instant aNow);

  quota_peers& mPeers;
  quota_observer& mObserver;
  quota_gate mGate;
  quota_keeper mKeeper;
  std::vector<group_state> mGroups; ///< By number.
  std::map<std::uint64_t, open_exchange> mExchanges;
  std::map<model::endpoint, model::instant> mSilentUntil;
  /** Replies of this instance's own ledgers. */
  std::vector<std::pair<model::endpoint, quota_reply>> mOwnReplies;
  std::uint64_t mNextId;
  std::optional<model::instant> mLastTimer;
};

} // namespace monsooncroft::serving

#endif
