/**
 * @file head_type.h
 * The head: the one small value that says which manifest is in force.
 */
#ifndef MONSOONCROFT_STORE_HEAD_TYPE_H
#define MONSOONCROFT_STORE_HEAD_TYPE_H

#include "model/manifest_base.h"
#include "store/store_type.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::store {

using change_id =
  model::identifier<struct change_tag>; ///< One apply; never used twice.

/** Key of the head. */
constexpr const char* kHeadKey = "monsooncroft/head";
/** Changes that a head names, its own included. */
constexpr std::size_t kRememberedChanges = 64;
/** Versions for which a chunk stays after the last head that names it. */
constexpr model::manifest_version kRetiredVersions = 16;

/**
 * Names one chunk. The writer is part of the name, so that a chunk once
 * deleted is never named again: a deletion that comes late cannot hit a chunk
 * that is in use.
 */
struct chunk_ref
{
  std::string mHash;      ///< Hash of the text, 32 hexadecimal digits.
  change_id mWriter;      ///< Change that wrote it.
  revision mRevision = 0; ///< Revision of its key.

  std::string Key() const; ///< Key at the platform.

  bool operator==(const chunk_ref&) const = default;
  std::strong_ordering operator<=>(const chunk_ref&) const = default;
};

/** The chunk of one service. */
struct service_ref
{
  model::service_id mService;
  chunk_ref mChunk;

  bool operator==(const service_ref&) const = default;
};

/** One accepted change. */
struct change_entry
{
  model::manifest_version mVersion = 0;
  change_id mChange;

  bool operator==(const change_entry&) const = default;
};

/** A chunk that no head names since a version. */
struct retired_chunk
{
  model::manifest_version mSince = 0; ///< First version without it.
  chunk_ref mChunk;

  bool operator==(const retired_chunk&) const = default;
};

/** A head. */
struct head
{
  model::manifest_version mVersion = 0; ///< 0: nothing was ever accepted.
  model::manifest_version mParent = 0;  ///< Version it was made from.
  change_id mChange;                    ///< Change that made it.
  chunk_ref mTenants;                   ///< Chunk of the tenants.
  std::vector<service_ref> mServices;   ///< In the manifest's order.
  std::vector<change_entry> mChanges;   ///< Latest changes, newest first.
  std::vector<retired_chunk> mRetired;  ///< Chunks still to be deleted.

  /** Version that a change became, if the head still names it. */
  std::optional<model::manifest_version> VersionOf(
    const change_id& aChange) const;
  /** Change that became a version, if the head still names it. */
  std::optional<change_id> ChangeOf(model::manifest_version aVersion) const;
  /** Every chunk that it names: the tenants', then the services'. */
  std::vector<chunk_ref> Chunks() const;

  bool operator==(const head&) const = default;
};

} // namespace monsooncroft::store

#endif
