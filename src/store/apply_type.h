/**
 * @file apply_type.h
 * What an apply asks for, what it asks of the store, and how it ended.
 */
#ifndef MONSOONCROFT_STORE_APPLY_TYPE_H
#define MONSOONCROFT_STORE_APPLY_TYPE_H

#include "store/head_type.h"

#include <string>
#include <variant>
#include <vector>

namespace monsooncroft::store {

/** The text of one chunk with its hash. */
struct chunk_text
{
  std::string mHash; ///< Hash of mText.
  std::string mText; ///< Canonical JSON.

  bool operator==(const chunk_text&) const = default;
};

/** A service and its text. */
struct service_text
{
  model::service_id mService;
  chunk_text mChunk;

  bool operator==(const service_text&) const = default;
};

/** One apply. */
struct apply_request
{
  change_id mChange; ///< Names this change; a repeat with it changes nothing.
  std::optional<model::manifest_version>
    mBase; ///< Version that was planned against; absent: the one found.
  model::manifest_version mSeen = 0; ///< Highest version known to exist.
  bool mRecover = false;  ///< The store lost its head: go on above mSeen.
  bool mRepeated = false; ///< An earlier run of this change may be under way
                          ///< or have taken effect.
  chunk_text mTenants;
  std::vector<service_text> mServices; ///< In the manifest's order.
  int mAttempts = 5;                   ///< Tries of each call before giving up.

  /**
   * Makes the request for a manifest.
   * @param aManifest The manifest; its version is not used.
   * @param aChange Name of the change. A digest of the content is added, so
   *   that one name with two contents is two changes.
   */
  static apply_request Of(const model::manifest& aManifest,
                          const change_id& aChange);

  bool operator==(const apply_request&) const = default;
};

/** Reads a key. */
struct get_call
{
  std::string mKey;
};

/** Writes a key if it is at a revision. */
struct swap_call
{
  std::string mKey;
  revision mExpect = 0;
  std::string mValue;
};

/** Deletes a key if it is at a revision. */
struct delete_call
{
  std::string mKey;
  revision mExpect = 0;
};

using store_call = std::variant<get_call, swap_call, delete_call>;

/** How an apply ended. */
enum class apply_end
{
  Accepted,   ///< It became mVersion.
  Conflict,   ///< Another change came first; this one never takes effect.
  NotApplied, ///< It never takes effect, for another reason.
  Unknown,    ///< It may have taken effect, or may yet. A repeated change
              ///< that is not found accepted always ends so.
};

/** The verdict on an apply. */
struct apply_verdict
{
  apply_end mEnd = apply_end::Unknown;
  model::manifest_version mVersion = 0; ///< Version it became, or would have.
  model::manifest_version mNewest = 0;  ///< Newest version seen.
  change_id mWinner;   ///< Conflict: the change that came first, if known.
  std::string mReason; ///< For people; empty when Accepted.

  bool operator==(const apply_verdict&) const = default;
};

/** Word of an end, for scripts. */
const char*
ToString(apply_end aEnd);

} // namespace monsooncroft::store

#endif
