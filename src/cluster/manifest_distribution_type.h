/**
 * @file manifest_distribution_type.h
 * Events and effects of the spread of manifests.
 */
#ifndef MONSOONCROFT_CLUSTER_MANIFEST_DISTRIBUTION_TYPE_H
#define MONSOONCROFT_CLUSTER_MANIFEST_DISTRIBUTION_TYPE_H

#include "model/endpoint_type.h"
#include "model/manifest_base.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace monsooncroft::cluster {

/** A chunk that a head names, addressed by the hash of its text. */
struct chunk_reference
{
  std::string mName;
  std::string mHash;

  bool operator==(const chunk_reference&) const = default;
};

/** The head of a manifest; its text is opaque here. */
struct manifest_head
{
  model::manifest_version mVersion = 0;
  std::vector<chunk_reference> mChunks;
  std::string mText;

  bool operator==(const manifest_head&) const = default;
};

/** A chunk with its text. */
struct chunk
{
  std::string mName;
  std::string mText;

  bool operator==(const chunk&) const = default;
};

/** How heads and chunks are written; the store's format stays outside. */
class manifest_format
{
public:
  virtual ~manifest_format() = default;
  virtual std::optional<manifest_head> ParseHead(
    const std::string& aText) const = 0; ///< Nothing if malformed.
  virtual std::string Hash(
    const std::string& aText) const = 0; ///< Address of a text.
};

/** What the platform said about the head. */
struct head_answer
{
  enum class outcome
  {
    Found,     ///< mText is the head.
    Absent,    ///< There is none yet.
    Unchanged, ///< A watch ran out.
    Failed,    ///< No answer, or over the share of calls.
  };
  outcome mOutcome = outcome::Failed;
  std::string mText;
};

struct watch_head ///< Wait for a change at the platform.
{};
struct read_head ///< Read the head from the platform.
{};
struct pull_text ///< Get a text by its hash.
{
  std::string mHash;
  std::optional<model::endpoint> mPeer; ///< Absent: from the platform.
};
struct adopt_manifest ///< Put a whole manifest in force.
{
  manifest_head mHead;
  std::vector<chunk> mChunks;
};

/** Why somebody should look. */
enum class alarm_kind
{
  LowerHead,       ///< The platform gave a lower version than the one in force.
  ForkedHead,      ///< Two heads with one version.
  MalformedHead,   ///< A head that cannot be read.
  WrongHash,       ///< A text that does not match its address.
  InvalidManifest, ///< A whole manifest that is not valid.
};
struct raise_alarm ///< Tell the operators.
{
  alarm_kind mKind;
  std::string mText;
};

using distribution_effect =
  std::variant<watch_head, read_head, pull_text, adopt_manifest, raise_alarm>;

} // namespace monsooncroft::cluster

#endif
