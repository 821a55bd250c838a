/**
 * @file leaf_directory_base.h
 * The registrations that this instance believes.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_DIRECTORY_BASE_H
#define MONSOONCROFT_SERVING_LEAF_DIRECTORY_BASE_H

#include "serving/leaf_registration_type.h"

#include <map>
#include <optional>

namespace monsooncroft::serving {

/** How long a missing registration is believed while the store is unwell. */
struct leaf_directory_settings
{
  /** Registrations that lapsed while the store was away return within this. */
  std::chrono::milliseconds mReregistrationPeriod{ 2'300 };
  /** The store counts as having been away after such a time without reads. */
  std::chrono::milliseconds mStoreOutageAfter{ 2'000 };
};

/**
 * Merges whole reads of the store and deltas from peers, each entry by its
 * revision, so that order and repetition do not matter. Answers the load of a
 * store that returns after an outage with most registrations lapsed: removing
 * them all would leave no leaf to serve, so they are kept for the time in which
 * live leaves register again.
 */
class leaf_directory
{
public:
  explicit leaf_directory(const leaf_directory_settings& aTerms = {})
    : mSettings(aTerms)
  {
  }

  /** @return What changed, to be told to peers; nothing if the read is older
   * than what is known. */
  std::optional<directory_delta> OnSnapshot(const directory_snapshot& aRead,
                                            model::instant aNow);
  /** What a peer tells. @return Whether all is known up to its revision. */
  bool OnDelta(const directory_delta& aDelta, model::instant aNow);
  /** What a watch brought. @return What changed, to be told to peers. */
  directory_delta OnWatch(const directory_delta& aChanges, model::instant aNow);
  /** Removes what is still missing when the time to return is over.
   * @return As OnRead, if anything went. */
  std::optional<directory_delta> RemoveMissing(model::instant aNow);

  /** Entries that changed and ids that went since the last call. */
  struct changes
  {
    std::vector<leaf_registration> mChangedLeaves;
    std::vector<std::string> mRemovedIds;
  };
  changes TakeChanges();

  std::uint64_t Revision() const { return mRevision; }
  /** When the directory was last known to be complete. */
  std::optional<model::instant> LastCompleteTime() const
  {
    return mLastCompleteTime;
  }
  std::size_t Size() const { return mLeaves.size(); }

private:
  /** @param aSeenAt Revision of the store at which it was there. */
  bool Put(const leaf_registration& aEntry, std::uint64_t aSeenAt);
  bool UpdateReregistrationPeriod(model::instant aNow);
  bool Remove(const std::string& aId, std::uint64_t aRevision);

  leaf_directory_settings mSettings;
  std::map<std::string, leaf_registration> mLeaves;
  std::map<std::string, std::uint64_t>
    mRemovedRevisions; ///< Revision at which it was so.
  std::map<std::string, std::uint64_t>
    mMissingRevisions; ///< Likewise; not believed yet.
  std::uint64_t mRevision = 0;
  std::optional<model::instant> mLastCompleteTime;
  std::optional<model::instant> mStoreRecoveredAt; ///< When it returned.
  changes mPendingChanges;
};

} // namespace monsooncroft::serving

#endif
