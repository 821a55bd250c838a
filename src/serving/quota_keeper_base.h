/**
 * @file quota_keeper_base.h
 * Keeps the quotas of the groups whose issuer or deputy this instance is.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_KEEPER_BASE_H
#define MONSOONCROFT_SERVING_QUOTA_KEEPER_BASE_H

#include "serving/quota_ledger_base.h"
#include "serving/quota_peers_base.h"

#include <vector>

namespace monsooncroft::serving {

/**
 * Answers the reports and questions of all instances on a group's workspaces.
 * When a workspace begins to send many times its usual rate, the issuer tells
 * all instances at once, so that they ask before they admit. When issuers
 * crash, freeze or are cut off, the deputy answers from the same reports, at a
 * lower rate, since the issuer may still be serving the other side.
 */
class quota_keeper
{
public:
  /** @param aFirstNumber Of the notices; above those of earlier processes of
   * this instance. */
  quota_keeper(quota_peers& aPeers,
               quota_observer& aObserver,
               const quota_settings& aSettings,
               std::uint64_t aFirstNumber);

  void SetLimits(const quota_ledger::limits& aLimits, model::instant aNow);
  /** @param aSender Identifies the process that reports. */
  quota_reply OnRequest(const quota_request& aRequest,
                        std::uint64_t aSender,
                        model::instant aNow);
  /** A notice of a group's issuer. */
  void OnNotice(const quota_notice& aNotice, model::instant aNow);
  /** Sends the notices that are due. */
  void OnTimer(model::instant aNow);
  /** This process or its machine stood still: what it kept is out of date. */
  void OnGap(model::instant aNow);
  /** Level of a workspace in this instance's ledger, if it keeps one. */
  std::optional<double> Level(workspace_hash aWorkspace) const;

private:
  enum class role
  {
    None,
    Deputy,
    Issuer,
  };
  struct group_state
  {
    explicit group_state(const quota_settings& aSettings)
      : mLedger(aSettings)
    {
    }

    quota_ledger mLedger;
    role mRole = role::None;       ///< None until it is ready.
    bool mIsNamed = false;         ///< As the issuer, ready or not.
    model::instant mIssuerHeardAt; ///< Last notice of the issuer.
    model::instant mAwaitedAt;     ///< Last one that said it does not decide.
    model::instant mNextNotice;
    model::instant mNextWarning;
    std::size_t mAloneRequests = 0; ///< Decided as a deputy since a notice.
    bool mHasLimits = false; ///< The configuration limits some workspace.
  };
  /** A decided request; it may be repeated if the reply was lost. */
  struct decided
  {
    std::uint64_t mSender = 0;
    quota_reply mReply;
    model::instant mAt;
  };

  bool IsReady(model::instant aNow) const;
  void UpdateRole(quota_group aGroup, model::instant aNow);
  double Share() const;
  void SendNotice(quota_group aGroup);
  /** @return Whether this is the issuer and a workspace became restricted, of
   * which all instances must be told. */
  bool UpdateRestricted(quota_group aGroup, model::instant aNow);
  const quota_reply* FindDecided(const quota_request& aRequest,
                                 std::uint64_t aSender,
                                 model::instant aNow);

  quota_peers& mPeers;
  quota_observer& mObserver;
  std::vector<group_state> mGroups; ///< By number.
  std::vector<decided> mDecided;    ///< Of the last moments, oldest first.
  std::uint64_t mNextNumber;
  model::instant mNotBefore; ///< Does not decide before.
};

} // namespace monsooncroft::serving

#endif
