/**
 * @file quota_gate_base.h
 * What an instance knows of the quotas that others keep.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_GATE_BASE_H
#define MONSOONCROFT_SERVING_QUOTA_GATE_BASE_H

#include "model/endpoint_type.h"
#include "model/time_type.h"
#include "serving/local_permits_base.h"
#include "serving/quota_settings_type.h"
#include "serving/quota_type.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace monsooncroft::serving {

/** How a request is decided. */
enum class quota_way
{
  Admit,
  Ask,
};

/** Whether a request was admitted. */
struct quota_outcome
{
  bool mAdmitted = true;
  /** Time until the quota allows a further request, if it was not. */
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const quota_outcome&) const = default;
};

/**
 * Decides whether a request of a workspace may be admitted at once. Most
 * workspaces stay below their limit, and their requests must not wait for
 * another instance. What may be admitted by instances that are cut off and do
 * not know it yet is bounded: by the number of unconfirmed admissions, and by
 * the time since the issuer was last heard.
 */
class quota_gate
{
public:
  /** @param aSeed Differs between instances. */
  quota_gate(const quota_settings& aSettings, std::uint64_t aSeed);

  quota_way Choose(workspace_hash aWorkspace, model::instant aNow);
  /** Decides by this instance's own share.
   * @param aInstances Instances that may be admitting requests. */
  quota_outcome DecideByOwnShare(workspace_hash aWorkspace,
                                 const quota_limit& aLimit,
                                 std::size_t aInstances,
                                 model::instant aNow);
  /** Decides while the membership may be incomplete: one request of each
   * workspace, or less if all instances start at once under a surge. */
  quota_outcome DecideAtStart(workspace_hash aWorkspace,
                              const quota_limit& aLimit,
                              std::size_t aInstances);
  void OnAdmitted(workspace_hash aWorkspace, model::instant aNow);
  /** @return What to report of a workspace, without questions. */
  quota_item Report(workspace_hash aWorkspace, model::instant aNow);

  /** A ledger has charged a report.
   * @param aTotal Of the report. */
  void OnConfirmed(workspace_hash aWorkspace, std::uint64_t aTotal);
  void OnState(const quota_decision& aDecision, model::instant aNow);
  /** @return Whether this group was without an issuer until now. */
  bool OnReply(quota_group aGroup);
  /** Notice of a group's issuer.
   * @return Whether it is newer than the last one. */
  bool OnNotice(const quota_notice& aNotice,
                const model::endpoint& aIssuer,
                model::instant aNow);
  /** Neither issuer nor deputy replied.
   * @return Whether this begins the use of the own share. */
  bool OnSilence(quota_group aGroup, model::instant aNow);
  /** A peer got no reply from issuer and deputy. */
  void OnPeerSilence(quota_group aGroup, model::instant aNow);
  /** This process or its machine stood still. */
  void OnGap();

  /** Time since the last notice; nothing if there was none. */
  std::optional<model::duration> HeardAge(quota_group aGroup,
                                          model::instant aNow) const;
  bool IsSilent(quota_group aGroup) const;
  bool IsRestricted(workspace_hash aWorkspace) const;
  /** Last known level of the workspace's bucket and its age. */
  std::optional<std::pair<double, model::duration>> Level(
    workspace_hash aWorkspace,
    model::instant aNow) const;

private:
  struct admission
  {
    std::uint64_t mTotal;
    model::instant mAt;
  };
  struct workspace_state
  {
    std::uint64_t mTotal = 0;
    std::deque<admission> mUnconfirmed; ///< Oldest first.
    bool mRestricted = false;           ///< By a reply since the last notice.
    bool mStartUsed = false;
    std::optional<double> mLevel;
    model::instant mLevelAt;
  };
  struct group_state
  {
    std::optional<model::instant> mHeardAt;
    model::endpoint mIssuer; ///< Sender of the last notice.
    std::uint64_t mNumber = 0;
    /** A report got no reply; notices alone do not show that reports arrive. */
    bool mMustAsk = false;
    std::optional<model::instant> mSilentSince;
    std::unordered_set<workspace_hash> mRestricted; ///< By the last notice.
  };

  static void Prune(workspace_state& aState, model::instant aNow);

  quota_settings mSettings;
  std::mt19937_64 mRandom;
  local_permits mOwnShare;
  std::unordered_map<workspace_hash, workspace_state> mWorkspaces;
  std::vector<group_state> mGroups; ///< By number.
};

} // namespace monsooncroft::serving

#endif
