/**
 * @file quota_type.h
 * Messages between instances about the quotas of workspaces.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_TYPE_H
#define MONSOONCROFT_SERVING_QUOTA_TYPE_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace monsooncroft::serving {

/** Hash of a workspace's name; names are of any length. */
using workspace_hash = std::uint64_t;
/** Number of a quota group. */
using quota_group = std::uint32_t;

/** Groups into which workspaces are divided; each has an issuer, whose notices
 * go to all instances. */
constexpr quota_group kQuotaGroups = 2;

constexpr quota_group
QuotaGroupOf(workspace_hash aWorkspace)
{
  return static_cast<quota_group>(aWorkspace % kQuotaGroups);
}

/** Limit of one workspace. */
struct quota_limit
{
  double mRatePerSecond = 0; ///< Of all instances together; 0: no limit.
  double mBurst = 0;

  bool operator==(const quota_limit&) const = default;
};

/** What one instance reports and asks about one workspace. */
struct quota_item
{
  workspace_hash mWorkspace = 0;
  std::uint64_t mTotal = 0; ///< Admissions since the instance's start.
  /** Of them, recent ones that no ledger has confirmed yet. */
  std::uint32_t mUnconfirmed = 0;
  std::uint32_t mAsked = 0; ///< Requests that wait for a decision.
  /** As the sender knows it, for a receiver whose configuration is older. */
  quota_limit mLimit;

  bool operator==(const quota_item&) const = default;
};

/** A report of admissions, with questions. */
struct quota_request
{
  std::uint64_t mId = 0; ///< Repeated in the reply, and if it is sent again.
  quota_group mGroup = 0;
  bool mWantsReply = false;
  std::vector<quota_item> mItems;

  bool operator==(const quota_request&) const = default;
};

/** State of one workspace, and the decision on what was asked. */
struct quota_decision
{
  workspace_hash mWorkspace = 0;
  std::uint32_t mGranted = 0;
  bool mRestricted = false; ///< Each request must ask first.
  double mLevel = 0;        ///< Requests that the bucket allows now.
  /** Time until the quota allows the first request that was not granted, and
   * between that one and each further one. */
  std::chrono::milliseconds mRetryAfter{ 0 };
  std::chrono::milliseconds mRetryStep{ 0 };

  bool operator==(const quota_decision&) const = default;
};

/** Answer to a quota_request. */
struct quota_reply
{
  std::uint64_t mId = 0;
  quota_group mGroup = 0;
  /** False if the sender is neither issuer nor deputy, or not ready; there are
   * no decisions then. */
  bool mDecides = false;
  /** False if the deputy refuses what the issuer may grant. */
  bool mIsFinal = true;
  std::vector<quota_decision> mDecisions; ///< In the order of the request.

  bool operator==(const quota_reply&) const = default;
};

/** Restricted workspaces of a group; sent by its issuer to all instances. */
struct quota_notice
{
  quota_group mGroup = 0;
  std::uint64_t mNumber = 0; ///< Increases for an issuer.
  /** False while the sender has just started; its deputy decides. */
  bool mDecides = true;
  std::vector<workspace_hash> mRestricted;

  bool operator==(const quota_notice&) const = default;
};

/** Part of a fleet_message about quotas. */
struct quota_message
{
  std::vector<quota_request> mRequests;
  std::vector<quota_reply> mReplies;
  std::vector<quota_notice> mNotices;
  /** Groups whose issuer has not replied to the sender. */
  std::vector<quota_group> mSilentGroups;

  bool IsEmpty() const
  {
    return mRequests.empty() && mReplies.empty() && mNotices.empty() &&
           mSilentGroups.empty();
  }
  bool operator==(const quota_message&) const = default;
};

} // namespace monsooncroft::serving

#endif
