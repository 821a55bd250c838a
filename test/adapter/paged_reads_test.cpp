/**
 * @file paged_reads_test.cpp
 * Reads of the registrations whose pages are of different revisions.
 */
#include "serving/fleet_codec_func.h"
#include "store_fleet.h"

#include <map>
#include <random>

namespace monsooncroft::adapter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** drain_ms of the smallest deployments. */
constexpr seconds kDrainBound{ 3 };
/** By how much the later pages of cheap reads are late. */
constexpr seconds kPageAge{ 5 };

class paged_reads : public store_fleet
{
protected:
  /** Cheap reads show their first page as it is, and the later ones as they
   * were. */
  void LetLaterPagesBeOld()
  {
    mStore.SetPageItems(kLeaves / 2);
    mStore.SetPageSource([this](const std::string& aAfter, bool aMayBeStale) {
      const model::instant now = gateway::event_loop::Now();
      mHistory.emplace_back(now, mStore.Save());
      if (!aMayBeStale || aAfter.empty()) {
        return mStore.Save();
      }
      auto shown = mHistory.begin();
      while (std::next(shown) != mHistory.end() &&
             std::next(shown)->first <= now - kPageAge) {
        ++shown;
      }
      return shown->second;
    });
  }
  /** @return Instances that know a leaf on the second page. */
  long InstancesThatKnow(const std::string& aId) const
  {
    return std::count_if(
      mLeaves.begin(), mLeaves.end(), [&](const auto& aKnown) {
        return aKnown.contains(aId);
      });
  }

  std::vector<std::pair<model::instant, standin_store::copy>> mHistory;
};

/** Guards against requests to a leaf that has left (DRAIN): an old later page
 * of a cheap read was taken as of the first page's revision, and brought the
 * leaf back. */
TEST_F(paged_reads, AnOldLaterPageDoesNotBringBackALeaf)
{
  LetLaterPagesBeOld();
  ASSERT_TRUE(
    RunUntil([&] { return AllKnow(ReadyLeaves(0, kLeaves)); }, seconds(10)));
  Run(seconds(3));
  mStore.Remove("servers/i-9");
  ASSERT_TRUE(
    RunUntil([&] { return InstancesThatKnow("i-9") == 0; }, kDrainBound));
  EXPECT_FALSE(
    RunUntil([&] { return InstancesThatKnow("i-9") > 0; }, seconds(6)));
}

/** Guards against requests to a leaf that has left (DRAIN): the revision of the
 * first page, which was the newest, showed that no fresh read was due, although
 * the page with the leaf was old. */
TEST_F(paged_reads, AnOldLaterPageDoesNotDelayTheFreshRead)
{
  LetLaterPagesBeOld();
  ASSERT_TRUE(
    RunUntil([&] { return AllKnow(ReadyLeaves(0, kLeaves)); }, seconds(10)));
  Run(seconds(3));
  mStore.SilenceWatches();
  mStore.Remove("servers/i-9");
  EXPECT_TRUE(
    RunUntil([&] { return InstancesThatKnow("i-9") == 0; }, kDrainBound));
}

/** Guards against requests to leaves that have left or drain, and against the
 * loss of leaves: reads in pages, fresh or not, watches and changes of peers in
 * any order. A leaf's state is one that the store had at or after the latest
 * revision at which a page or a watch has shown it to the instance, or which
 * the instance has applied before. */
class page_orders : public testing::Test
{
protected:
  static constexpr int kIds = 12;
  static constexpr std::size_t kPageItems = 3;
  static constexpr std::size_t kInstances = 3;
  static constexpr std::size_t kMaxLag = 12; ///< Changes that a page may lack.

  /** State of a leaf: its incarnation and whether it drains; 0: absent. */
  using leaf_state = std::pair<std::uint64_t, bool>;

  struct instance
  {
    /** Without outages of the store, after which missing leaves are kept. */
    serving::leaf_directory mDirectory{ { milliseconds(0) } };
    std::map<std::string, leaf_state> mKnown;
    /** Revision by id below which states are no longer allowed. */
    std::map<std::string, std::uint64_t> mShownAt;
  };

  page_orders()
    : mSink(std::make_shared<ops::bounded_sink>(::open("/dev/null", O_WRONLY),
                                                1U << 20U))
    , mLog("test", ops::log_level::Info, mSink)
    , mStore(mLoop, mLog)
    , mClient(mLoop, mStore.Address(), mLog)
  {
    mStore.SetPageItems(kPageItems);
    mStore.SetPageSource([this](const std::string& aAfter, bool aMayBeStale) {
      // Changes take place while the pages are read.
      if (!mIsSettling && mRandom() % 3 == 0) {
        Change();
      }
      const std::size_t lag =
        aMayBeStale ? mRandom() % std::min(kMaxLag, mHistory.size()) : 0;
      const auto& shown = mHistory[mHistory.size() - 1 - lag];
      RecordPage(aAfter, shown);
      return shown;
    });
    mHistory.push_back(mStore.Save());
  }

  static std::string Id(int aIndex)
  {
    return std::string("i-") + static_cast<char>('a' + aIndex);
  }

  /** A leaf comes, drains, leaves or starts again under its id. */
  void Change()
  {
    const std::string id = Id(static_cast<int>(mRandom() % kIds));
    leaf_state& state = mLeaves[id];
    if (state.first != 0 && mRandom() % 2 == 0) {
      state = {};
      mStore.Remove("servers/" + id);
    } else {
      const bool drains =
        state.first != 0 && !state.second && mRandom() % 2 == 0;
      state = { drains ? state.first : ++mIncarnations, drains };
      mStore.Put("servers/" + id,
                 R"({"service":"s","address":"10.1.0.1:80","zone":"z",)"
                 R"("slots":2,"born":)" +
                   std::to_string(state.first) + R"(,"state":")" +
                   (state.second ? "draining" : "ready") + R"("})");
    }
    mHistory.push_back(mStore.Save());
    mStates.push_back(mLeaves);
  }

  /** Notes what a page shows to the reader: all ids in its range. */
  void RecordPage(const std::string& aAfter, const standin_store::copy& aShown)
  {
    std::size_t items = 0;
    std::string last;
    for (const auto& [key, item] : aShown.mItems) {
      if (key > aAfter && ++items <= kPageItems) {
        last = key;
      }
    }
    for (int index = 0; index < kIds; ++index) {
      const std::string key = "servers/" + Id(index);
      if (key > aAfter && (items <= kPageItems || key <= last)) {
        mShownPages.emplace_back(Id(index), aShown.mRevision);
      }
    }
  }

  /** Reads all pages. */
  serving::directory_snapshot Read(bool aMayBeStale)
  {
    std::optional<gateway::store_result<serving::directory_snapshot>> result;
    mShownPages.clear();
    mClient.ReadDirectory(aMayBeStale, [&](auto aResult) {
      result = std::move(aResult);
      mLoop.Stop();
    });
    mLoop.Run();
    return std::get<serving::directory_snapshot>(*result);
  }

  /** Changes after the directory's revision, as a watch returns them. */
  serving::directory_delta Watch(const instance& aInstance)
  {
    const model::store_revision after = aInstance.mDirectory.Revision();
    std::optional<gateway::store_result<serving::directory_delta>> result;
    mClient.WatchDirectory(after, milliseconds(1), [&](auto aResult) {
      result = std::move(aResult);
      mLoop.Stop();
    });
    mLoop.Run();
    return std::get<serving::directory_delta>(*result);
  }

  void Send(const serving::directory_delta& aDelta)
  {
    serving::fleet_message message;
    message.mMembers.emplace_back();
    message.mDirectoryDeltas = { aDelta };
    mSent.push_back(serving::EncodeMessage(message));
  }

  void Pull(instance& aFrom, instance& aTo)
  {
    serving::fleet_snapshot snapshot;
    snapshot.mDirectory =
      aFrom.mDirectory.ChangesSince(aTo.mDirectory.Revision());
    aTo.mDirectory.OnPulledChanges(
      serving::DecodeSnapshot(serving::EncodeSnapshot(snapshot))->mDirectory,
      aFrom.mDirectory.LastCompleteTime());
  }

  void Start(std::uint32_t aSeed)
  {
    mRandom.seed(aSeed);
    mInstances = std::vector<instance>(kInstances);
    mSent.clear();
    mIsSettling = false;
  }

  /** Nothing changes any more. The first instance reads, the others pull. */
  void Settle()
  {
    mIsSettling = true;
    ReadInto(mInstances.front(), false);
    for (instance& each : mInstances) {
      Pull(mInstances.front(), each);
      Update(each);
    }
  }

  /** Leaves in the store. */
  std::map<std::string, leaf_state> PresentLeaves() const
  {
    auto present = mLeaves;
    std::erase_if(
      present, [](const auto& aLeaf) { return aLeaf.second == leaf_state(); });
    return present;
  }

  void Step()
  {
    mNow += milliseconds(mRandom() % 200);
    instance& here = mInstances[mRandom() % kInstances];
    switch (mRandom() % 6) {
      case 0:
        Change();
        break;
      case 1:
        ReadInto(here, mRandom() % 4 != 0);
        break;
      case 2:
        if (here.mDirectory.LastCompleteTime() &&
            here.mDirectory.Revision().Number() < mStore.Revision()) {
          const auto changes = Watch(here);
          // Reads may be answered before the watch.
          if (mRandom() % 3 == 0) {
            ReadInto(here, true);
          }
          Send(here.mDirectory.OnWatch(changes, mNow));
          for (int index = 0; index < kIds; ++index) {
            Show(here, Id(index), changes.mRevision.Number());
          }
        }
        break;
      case 3:
        if (!mSent.empty()) {
          const std::size_t recent =
            mRandom() % std::min<std::size_t>(6, mSent.size());
          here.mDirectory.OnDelta(
            serving::DecodeMessage(mSent[mSent.size() - 1 - recent])
              ->mDirectoryDeltas.front(),
            mNow);
        }
        break;
      case 4:
        Pull(mInstances[mRandom() % kInstances], here);
        break;
      default:
        if (mRandom() % 20 == 0) {
          here = instance(); // Starts again.
        }
        break;
    }
    for (instance& each : mInstances) {
      each.mDirectory.RemoveMissing(mNow);
      Update(each);
    }
  }

  void ReadInto(instance& aInstance, bool aMayBeStale)
  {
    const auto snapshot = Read(aMayBeStale);
    if (const auto delta = aInstance.mDirectory.OnSnapshot(snapshot, mNow)) {
      Send(*delta);
    }
    for (const auto& [id, revision] : mShownPages) {
      Show(aInstance, id, revision);
    }
  }

  static void Show(instance& aInstance,
                   const std::string& aId,
                   std::uint64_t aRevision)
  {
    auto& shownAt = aInstance.mShownAt[aId];
    shownAt = std::max(shownAt, aRevision);
  }

  /** Applies what the directory has changed, and checks it. */
  void Update(instance& aInstance)
  {
    const auto changes = aInstance.mDirectory.TakeChanges();
    for (const std::string& id : changes.mRemovedIds) {
      aInstance.mKnown.erase(id);
    }
    for (const auto& leaf : changes.mChangedLeaves) {
      aInstance.mKnown[leaf.mId] = { leaf.mIncarnation, leaf.mDraining };
    }
    // All changes up to the directory's revision are known.
    const model::store_revision revision = aInstance.mDirectory.Revision();
    for (int index = 0; index < kIds && revision.Number() > 0; ++index) {
      Show(aInstance, Id(index), revision.Number());
    }
    for (auto& [id, shownAt] : aInstance.mShownAt) {
      const auto found = aInstance.mKnown.find(id);
      const leaf_state known =
        found == aInstance.mKnown.end() ? leaf_state() : found->second;
      std::uint64_t matching = shownAt;
      while (matching <= mStore.Revision() && StateAt(id, matching) != known) {
        ++matching;
      }
      ASSERT_LE(matching, mStore.Revision())
        << id << " is known as " << known.first << ", "
        << (known.second ? "draining" : "ready")
        << ", which it was before revision " << shownAt;
      shownAt = matching;
    }
  }

  leaf_state StateAt(const std::string& aId, std::uint64_t aRevision) const
  {
    // The first revision is 1, before all changes.
    const auto& states = mStates[aRevision - 1];
    const auto found = states.find(aId);
    return found == states.end() ? leaf_state() : found->second;
  }

  std::mt19937 mRandom;
  gateway::event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  ops::log mLog;
  standin_store mStore;
  store_client mClient;
  std::vector<standin_store::copy> mHistory;
  std::map<std::string, leaf_state> mLeaves;
  /** State of all leaves at each revision. */
  std::vector<std::map<std::string, leaf_state>> mStates{ {} };
  std::vector<std::pair<std::string, std::uint64_t>> mShownPages;
  std::vector<instance> mInstances{ kInstances };
  std::vector<std::string> mSent; ///< Encoded messages of readers.
  std::uint64_t mIncarnations = 0;
  bool mIsSettling = false; ///< No changes while pages are read.
  model::instant mNow{ seconds(100) };
};

TEST_F(page_orders, LeavesAreKnownAsThePagesShowThem)
{
  constexpr std::uint32_t kSeeds = 200;
  constexpr int kSteps = 150;
  for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
    Start(seed);
    for (int step = 0; step < kSteps; ++step) {
      Step();
      ASSERT_FALSE(HasFatalFailure()) << "seed " << seed << ", step " << step;
    }
    Settle();
    for (const instance& each : mInstances) {
      EXPECT_EQ(each.mKnown, PresentLeaves()) << "seed " << seed;
    }
  }
}

} // namespace
} // namespace monsooncroft::adapter
