/**
 * @file key_revisions_type.h
 * Store revisions at which the entries of ranges of keys are known.
 */
#ifndef MONSOONCROFT_SERVING_KEY_REVISIONS_TYPE_H
#define MONSOONCROFT_SERVING_KEY_REVISIONS_TYPE_H

#include "model/store_revision_type.h"

#include <map>
#include <optional>
#include <string>

namespace monsooncroft::serving {

/**
 * Revision of the store for each key. The pages of a read are of different
 * revisions: each one shows which of the keys in its range existed at its own
 * revision, and which did not. Keys are compared byte by byte.
 */
class key_revisions
{
public:
  /** Converts implicitly: mostly all keys are known at one revision. */
  key_revisions(model::store_revision aAll = {})
    : mRanges{ { std::string(), aAll } }
  {
  }

  model::store_revision At(const std::string& aKey) const;
  /** Revision at which all keys are known. */
  model::store_revision Least() const;
  model::store_revision Greatest() const;
  /** Whether all keys have the same revision. */
  bool IsUniform() const { return mRanges.size() == 1; }
  /** Raises the revision of the keys after aAfter up to and including aLast; an
   * empty aAfter is before all keys, no aLast behind all of them. */
  void Raise(const std::string& aAfter,
             const std::optional<std::string>& aLast,
             model::store_revision aRevision);
  /** Raises each key to its revision in another one. */
  void Raise(const key_revisions& aOther);
  /** Whether some keys, or all, have a lower revision than in another one. */
  bool AnyBelow(const key_revisions& aOther) const;
  bool AllBelow(const key_revisions& aOther) const;
  /** Revision by the key after which each range begins; the first is empty. A
   * range ends with the key after which the next one begins. */
  const std::map<std::string, model::store_revision>& Ranges() const
  {
    return mRanges;
  }

  bool operator==(const key_revisions&) const = default;

private:
  /** Revision of the keys that follow aStart immediately. */
  model::store_revision Behind(const std::string& aStart) const;
  /** Lets a range begin after a key. */
  void Split(const std::string& aStart);
  /** Calls a function with both revisions of each part of the keys. */
  template<class F>
  bool AnyPart(const key_revisions& aOther, F aMatches) const;

  std::map<std::string, model::store_revision> mRanges;
};

} // namespace monsooncroft::serving

#endif
