/**
 * @file manifest_reader_base.h
 * Follows the manifest upwards, whoever tells of it.
 */
#ifndef MONSOONCROFT_STORE_MANIFEST_READER_BASE_H
#define MONSOONCROFT_STORE_MANIFEST_READER_BASE_H

#include "store/head_type.h"
#include "store/manifest_reader_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::store {

/**
 * Decides which manifest is in force. It only ever moves to a higher version,
 * and only once every chunk is there and the whole is valid. It does no I/O:
 * the driver feeds heads and chunks, from the platform or from peers. Not
 * thread safe.
 */
class manifest_reader
{
public:
  /**
   * A head was read or told.
   * @param aText Its text.
   * @param aSource Where from; only the platform raises alarms about lower
   *   versions.
   * @return Fetching: get what Missing() names and hand it to OnChunk.
   */
  reader_step OnHead(const std::string& aText, head_source aSource);

  /** The platform says that there is no head at all. */
  reader_step OnHeadAbsent();

  /**
   * A chunk was read or told.
   * @param aChunk Which.
   * @param aText Its text.
   * @return Adopted once the last missing chunk has come.
   */
  reader_step OnChunk(const chunk_ref& aChunk, const std::string& aText);

  /** The platform says that a chunk is absent: the head is out of date. The
   * target is dropped until it is told again. */
  void OnChunkGone(const chunk_ref& aChunk);

  std::vector<chunk_ref> Missing() const; ///< Chunks to fetch.

  model::manifest_ptr InForce() const { return mInForce; } ///< Null at first.
  model::manifest_version Version() const; ///< In force; 0: none.
  /** Text of the head in force, to tell peers; empty: none. */
  const std::string& HeadText() const { return mHeadText; }
  /** Head in force. @pre Version() > 0. */
  const head& Head() const { return mHead; }
  /** Text of a chunk by its hash, to tell peers; null: not here. */
  const std::string* ChunkText(const std::string& aHash) const;
  std::vector<manifest_alarm> Alarms() const; ///< Those that stand.

private:
  /** A chunk that is here. */
  struct held_chunk
  {
    std::string mText;
    std::shared_ptr<const model::service> mService; ///< Parsed, if a service.
  };

  reader_step OnOlderHead(const head& aHead, head_source aSource);
  reader_step TryAdopt();
  std::optional<std::vector<model::service>> ParseServices();
  reader_step Reject(const std::string& aReason);
  void Raise(alarm_kind aKind,
             model::manifest_version aVersion,
             std::string aText);
  void DropUnused();

  model::manifest_ptr mInForce; ///< Manifest in force.
  head mHead;                   ///< Its head.
  std::string mHeadText;        ///< Text of it.
  std::optional<head> mTarget;  ///< Newer head whose chunks are fetched.
  std::string mTargetText;      ///< Text of it.
  model::manifest_version mRejected = 0;     ///< Highest version found invalid.
  std::map<std::string, held_chunk> mChunks; ///< By hash.
  std::map<alarm_kind, manifest_alarm> mAlarms; ///< Those that stand.
};

} // namespace monsooncroft::store

#endif
