/**
 * @file manifest_distribution_type.h
 * Events and effects of the manifest distribution.
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

/** Name of a chunk and the hash of its text. */
struct chunk_reference
{
  std::string mName;
  std::string mHash;

  bool operator==(const chunk_reference&) const = default;
};

/**
 * The head of a manifest: its version and its chunks. The cluster core does not
 * parse the text itself.
 */
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

/**
 * Format of heads and hash of texts, so that the cluster core does not depend
 * on the store's format.
 */
class manifest_format
{
public:
  virtual ~manifest_format() = default;
  virtual std::optional<manifest_head> ParseHead(
    const std::string& aText) const = 0; ///< Nothing if malformed.
  virtual std::string Hash(
    const std::string& aText) const = 0; ///< Hash that addresses a text.
};

/** The platform's answer to a read or a watch of the head. */
struct head_answer
{
  enum class outcome
  {
    Found,     ///< mText is the head.
    Absent,    ///< The platform has no head yet.
    Unchanged, ///< The watch ended without a change.
    Failed, ///< The platform did not answer, or this instance used up its share
            ///< of platform calls.
  };
  outcome mOutcome = outcome::Failed;
  std::string mText;
};

struct watch_head ///< Watches the platform's head for a change.
{};
struct read_head ///< Reads the head from the platform.
{};
struct pull_text ///< Pulls a text by its hash.
{
  std::string mHash;
  std::optional<model::endpoint> mPeer; ///< Source of the text; absent: the
                                        ///< platform.
};
struct adopt_manifest ///< Puts a complete manifest in force.
{
  manifest_head mHead;
  std::vector<chunk> mChunks;
};

/** Reason of an alarm. */
enum class alarm_kind
{
  LowerHead,     ///< The platform's version is lower than the version in force.
  ForkedHead,    ///< Two different heads have the same version.
  MalformedHead, ///< The text of a head cannot be parsed, or its version is not
                 ///< the announced one.
  WrongHash,     ///< A text does not match the hash it was pulled by.
  InvalidManifest, ///< A complete manifest is invalid.
};
struct raise_alarm ///< Raises an alarm for the operators.
{
  alarm_kind mKind;
  std::string mText;
};

using distribution_effect =
  std::variant<watch_head, read_head, pull_text, adopt_manifest, raise_alarm>;

} // namespace monsooncroft::cluster

#endif
