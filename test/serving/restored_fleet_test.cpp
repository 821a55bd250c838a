/**
 * @file restored_fleet_test.cpp
 * Randomized simulations, seeded and in virtual time, of directories that read
 * a store which is restored from older copies again and again, and of others
 * that hear only from their peers.
 */
#include "serving/fleet_codec_func.h"
#include "serving/leaf_directory_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSeeds = 2'000;
constexpr int kSteps = 250;
/** Time after a restore in which live leaves register again and the others'
 * registrations expire. */
constexpr milliseconds kExpiryTime{ 3'600 };
/** Of a datagram on its way. */
constexpr seconds kMaxDelay{ 1 };
/** Time in which all instances know of the last changes. */
constexpr seconds kSettleTime{ 12 };

/** A store, and what is true of the leaves that write to it. */
class restorable_store
{
public:
  explicit restorable_store(std::mt19937& aRandom)
    : mRandom(aRandom)
  {
    mCopies.push_back(mContent);
  }

  /** A leaf starts, drains or leaves. */
  void ChangeLeaf()
  {
    const std::string id(1, static_cast<char>('a' + mRandom() % 5));
    const auto found = mLeaves.find(id);
    if (found == mLeaves.end()) {
      leaf_registration leaf;
      leaf.mId = id;
      leaf.mService = "s";
      leaf.mIncarnation = ++mIncarnations;
      mLeaves[id] = leaf;
    } else if (!found->second.mDraining) {
      found->second.mDraining = true;
    } else {
      mLeaves.erase(found);
    }
    WriteAgain(id);
    if (mRandom() % 3 == 0) {
      mCopies.push_back(mContent);
    }
  }
  void Restore()
  {
    const std::uint64_t era = mContent.mRevision.Era() + 1;
    const std::size_t copy = mRandom() % mCopies.size();
    mContent = mCopies[copy];
    mCopies.resize(copy + 1);
    mContent.mRevision = { mContent.mRevision.Number(), era };
  }
  /** A leaf registers again what the restore has undone, or its registration
   * expires. */
  void WriteAgain(const std::string& aId)
  {
    const auto leaf = mLeaves.find(aId);
    const auto entry = mContent.mItems.find(aId);
    if (leaf == mLeaves.end()) {
      if (entry != mContent.mItems.end()) {
        mContent.mItems.erase(entry);
        mContent.mLastChanges[aId] = NextRevision();
      }
    } else if (entry == mContent.mItems.end() ||
               !entry->second.EqualsIgnoringHeartbeat(leaf->second)) {
      leaf->second.mRevision = { NextRevision(), 0 };
      mContent.mItems[aId] = leaf->second;
      mContent.mLastChanges[aId] = mContent.mRevision.Number();
    }
  }
  void WriteAllAgain()
  {
    for (char id = 'a'; id < 'f'; ++id) {
      WriteAgain(std::string(1, id));
    }
  }

  directory_snapshot Read() const
  {
    directory_snapshot snapshot{ mContent.mRevision, {} };
    for (const auto& [id, leaf] : mContent.mItems) {
      snapshot.mLeaves.push_back(InThisEra(leaf));
    }
    return snapshot;
  }
  /** Nothing if the store no longer has the revision. */
  std::optional<directory_delta> Watch(model::store_revision aAfter) const
  {
    if (aAfter.Era() != mContent.mRevision.Era() ||
        aAfter > mContent.mRevision) {
      return std::nullopt;
    }
    directory_delta delta{ aAfter, mContent.mRevision, {}, {} };
    for (const auto& [id, revision] : mContent.mLastChanges) {
      if (revision <= aAfter.Number()) {
        continue;
      }
      const auto found = mContent.mItems.find(id);
      if (found == mContent.mItems.end()) {
        delta.mRemovedIds.push_back(id);
      } else {
        delta.mChangedLeaves.push_back(InThisEra(found->second));
      }
    }
    return delta;
  }
  /** Incarnations that live, with whether they drain. */
  std::map<std::uint64_t, bool> LiveLeaves() const
  {
    std::map<std::uint64_t, bool> live;
    for (const auto& [id, leaf] : mLeaves) {
      live[leaf.mIncarnation] = leaf.mDraining;
    }
    return live;
  }

private:
  struct content
  {
    model::store_revision mRevision{ 10, 1 };
    std::map<std::string, leaf_registration> mItems;
    std::map<std::string, std::uint64_t> mLastChanges; ///< By id.
  };

  std::uint64_t NextRevision()
  {
    mContent.mRevision = { mContent.mRevision.Number() + 1,
                           mContent.mRevision.Era() };
    return mContent.mRevision.Number();
  }
  leaf_registration InThisEra(leaf_registration aLeaf) const
  {
    aLeaf.mRevision = { aLeaf.mRevision.Number(), mContent.mRevision.Era() };
    return aLeaf;
  }

  std::mt19937& mRandom;
  content mContent;
  std::vector<content> mCopies; ///< In the order of their revisions.
  std::map<std::string, leaf_registration> mLeaves;
  std::uint64_t mIncarnations = 0;
};

/** One instance's directory, as the instance's requests see it. */
class instance
{
public:
  leaf_directory& Directory() { return mDirectory; }
  const leaf_directory& Directory() const { return mDirectory; }

  /** @return Whether a leaf that was known to drain became ready. */
  bool Update()
  {
    bool undone = false;
    const auto changes = mDirectory.TakeChanges();
    for (const std::string& id : changes.mRemovedIds) {
      mKnown.erase(id);
    }
    for (const leaf_registration& leaf : changes.mChangedLeaves) {
      undone =
        undone || (!leaf.mDraining && mDraining.contains(leaf.mIncarnation));
      if (leaf.mDraining) {
        mDraining.insert(leaf.mIncarnation);
      }
      mKnown[leaf.mId] = leaf;
    }
    return undone;
  }
  std::map<std::uint64_t, bool> KnownLeaves() const
  {
    std::map<std::uint64_t, bool> known;
    for (const auto& [id, leaf] : mKnown) {
      known[leaf.mIncarnation] = leaf.mDraining;
    }
    return known;
  }

private:
  leaf_directory mDirectory;
  std::map<std::string, leaf_registration> mKnown;
  std::set<std::uint64_t> mDraining; ///< Incarnations that were known to drain.
};

/** Instances 0 and 1 reach the store; the others hear only from peers. */
class restored_fleet
{
public:
  explicit restored_fleet(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mStore(mRandom)
    , mInstances(3 + aSeed % 4)
  {
  }

  void Disturb()
  {
    for (int step = 0; step < kSteps; ++step) {
      mNow += milliseconds(mRandom() % 400);
      if (mNow - mRestoredAt > kExpiryTime) {
        mStore.WriteAllAgain();
      }
      switch (mRandom() % 9) {
        case 0:
        case 1:
          mStore.ChangeLeaf();
          break;
        case 2:
          if (mRandom() % 4 == 0) {
            mStore.Restore();
            mRestoredAt = mNow;
          }
          break;
        case 3:
          mStore.WriteAgain(
            std::string(1, static_cast<char>('a' + mRandom() % 5)));
          break;
        case 4:
          Read(mRandom() % kReaders);
          break;
        case 5:
          Watch(mRandom() % kReaders);
          break;
        case 6:
          std::erase_if(mSent, [this](const datagram& aDatagram) {
            return mNow - aDatagram.mSentAt > kMaxDelay;
          });
          if (!mSent.empty()) {
            Random().Directory().OnDelta(mSent[mRandom() % mSent.size()].mDelta,
                                         mNow);
          }
          break;
        case 7:
          if (mRandom() % 10 == 0) {
            Random() = instance(); // Restarts.
          }
          break;
        default:
          Pull(mRandom() % mInstances.size(), mRandom() % mInstances.size());
          break;
      }
      Update();
    }
  }

  /** The first instance reads the store; the others get most of what it sends,
   * and pull from peers. */
  void Settle()
  {
    mStore.WriteAllAgain();
    for (const auto end = mNow + kSettleTime; mNow < end;
         mNow += milliseconds(400)) {
      Read(0);
      for (std::size_t to = 1; to < mInstances.size(); ++to) {
        if (mRandom() % 10 != 0) {
          mInstances[to].Directory().OnDelta(mSent.back().mDelta, mNow);
        }
        for (std::size_t from = 0; from < mInstances.size(); ++from) {
          Pull(from, to);
        }
      }
      Update();
    }
  }

  bool AnyDrainUndone() const { return mDrainUndone; }
  bool AllKnowTheLeaves() const
  {
    return std::all_of(
      mInstances.begin(), mInstances.end(), [&](const instance& aInstance) {
        return aInstance.KnownLeaves() == mStore.LiveLeaves();
      });
  }

private:
  struct datagram
  {
    model::instant mSentAt;
    directory_delta mDelta;
  };

  static constexpr std::size_t kReaders = 2;

  instance& Random() { return mInstances[mRandom() % mInstances.size()]; }

  void Update()
  {
    for (instance& each : mInstances) {
      each.Directory().RemoveMissing(mNow);
      mDrainUndone = each.Update() || mDrainUndone;
    }
  }
  void Read(std::size_t aIndex)
  {
    if (const auto delta =
          mInstances[aIndex].Directory().OnSnapshot(mStore.Read(), mNow)) {
      mSent.push_back({ mNow, *delta });
    }
  }
  void Watch(std::size_t aIndex)
  {
    leaf_directory& directory = mInstances[aIndex].Directory();
    const auto changes = mStore.Watch(directory.Revision());
    if (directory.LastCompleteTime() && changes) {
      mSent.push_back({ mNow, directory.OnWatch(*changes, mNow) });
    }
  }
  void Pull(std::size_t aFrom, std::size_t aTo)
  {
    const leaf_directory& from = mInstances[aFrom].Directory();
    leaf_directory& to = mInstances[aTo].Directory();
    if (from.Revision() > to.Revision()) {
      fleet_snapshot snapshot;
      snapshot.mDirectory = from.ChangesSince(to.Revision());
      to.OnPulledChanges(DecodeSnapshot(EncodeSnapshot(snapshot))->mDirectory,
                         from.LastCompleteTime());
    }
  }

  std::mt19937 mRandom;
  restorable_store mStore;
  std::vector<instance> mInstances;
  std::vector<datagram> mSent;
  model::instant mNow{ seconds(100) };
  model::instant mRestoredAt;
  bool mDrainUndone = false;
};

/** Requests would reach leaves that drain or have left, or not reach those that
 * have come: after a restore, revisions are given out again. */
TEST(RestoredFleet, AllInstancesKnowTheLeavesAfterRestores)
{
  for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
    restored_fleet fleet(seed);
    fleet.Disturb();
    EXPECT_FALSE(fleet.AnyDrainUndone()) << "seed " << seed;
    fleet.Settle();
    EXPECT_TRUE(fleet.AllKnowTheLeaves()) << "seed " << seed;
  }
}

} // namespace
} // namespace monsooncroft::serving
