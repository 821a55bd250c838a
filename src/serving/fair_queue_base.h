/**
 * @file fair_queue_base.h
 * The order of requests that wait for a leaf.
 */
#ifndef MONSOONCROFT_SERVING_FAIR_QUEUE_BASE_H
#define MONSOONCROFT_SERVING_FAIR_QUEUE_BASE_H

#include "model/time_type.h"
#include "serving/service_record_base.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsooncroft::serving {

/** What the order of a request depends on. */
struct queue_position
{
  std::string_view mWorkspace; ///< Empty for requests without one.
  int mRank = 0;               ///< Lower ranks go first.
  model::instant mAnswerBy;    ///< When its answer is wanted.
  model::duration mCost{ 0 };  ///< Expected work of the leaf.
};

/**
 * One workspace sends many times what it usually does, so that requests of all
 * workspaces wait. Lower ranks go first; the workspaces of one rank share the
 * leaf by deficit round robin: in each round each one gets the same allowance
 * of work, and of those whose allowance suffices the request whose answer is
 * wanted first goes next. So a workspace that sends too much waits for its own
 * requests, while the others' are sent in the order of time. A workspace that
 * service_record finds to be owed service goes before all ranks. Requests
 * without workspace and of equal rank are sent in the order of time alone.
 */
template<class Item>
class fair_queue
{
public:
  bool Empty() const { return mSize == 0; }
  std::size_t Size() const { return mSize; }

  void Insert(Item aItem, const queue_position& aPosition)
  {
    flow& target = FindFlow(aPosition);
    const auto after =
      std::upper_bound(target.mEntries.begin(),
                       target.mEntries.end(),
                       aPosition.mAnswerBy,
                       [](model::instant aAnswerBy, const entry& aOther) {
                         return aAnswerBy < aOther.mAnswerBy;
                       });
    target.mEntries.insert(
      after, { std::move(aItem), aPosition.mAnswerBy, aPosition.mCost });
    ++mSize;
  }

  /** Removes the next item that the function accepts; nothing if it accepts
   * none. */
  template<class F>
  std::optional<Item> TakeNext(F aAccepts)
  {
    const std::optional<candidate> chosen = Choose(aAccepts);
    if (!chosen) {
      return std::nullopt;
    }
    flow& source = mFlows[chosen->mFlow];
    const auto taken =
      source.mEntries.begin() + static_cast<std::ptrdiff_t>(chosen->mEntry);
    source.mAllowance -= std::min(source.mAllowance, taken->mCost);
    if (!source.mWorkspace.empty()) {
      mRecord.OnServed(source.mWorkspace);
    }
    Item item = std::move(taken->mItem);
    source.mEntries.erase(taken);
    --mSize;
    ForgetIfEmpty();
    return item;
  }

  /** Removes items that have waited in vain. */
  template<class F>
  std::vector<Item> RemoveIf(F aRemoves)
  {
    std::vector<Item> removed;
    for (flow& each : mFlows) {
      std::size_t kept = 0;
      for (std::size_t index = 0; index < each.mEntries.size(); ++index) {
        entry& queued = each.mEntries[index];
        if (aRemoves(queued.mItem)) {
          removed.push_back(std::move(queued.mItem));
          if (!each.mWorkspace.empty()) {
            mRecord.OnDropped(each.mWorkspace);
          }
        } else {
          if (kept != index) {
            each.mEntries[kept] = std::move(queued);
          }
          ++kept;
        }
      }
      each.mEntries.erase(each.mEntries.begin() +
                            static_cast<std::ptrdiff_t>(kept),
                          each.mEntries.end());
    }
    mSize -= removed.size();
    ForgetIfEmpty();
    return removed;
  }

  /** Removes all items and forgets how workspaces were served. */
  std::vector<Item> TakeAll()
  {
    std::vector<Item> items;
    for (flow& each : mFlows) {
      for (entry& queued : each.mEntries) {
        items.push_back(std::move(queued.mItem));
      }
    }
    mFlows.clear();
    mRecord.Clear();
    mSize = 0;
    return items;
  }

private:
  struct entry
  {
    Item mItem;
    model::instant mAnswerBy;
    model::duration mCost;
  };
  /** Requests of one workspace and rank. */
  struct flow
  {
    std::string mWorkspace;
    int mRank = 0;
    /** Work that it may still get in this round. */
    model::duration mAllowance{ 0 };
    std::vector<entry> mEntries; ///< Wanted first first.
  };
  /** The first acceptable entry of a flow. */
  struct candidate
  {
    std::size_t mFlow;
    std::size_t mEntry;
  };

  flow& FindFlow(const queue_position& aPosition)
  {
    for (flow& each : mFlows) {
      if (each.mRank == aPosition.mRank &&
          each.mWorkspace == aPosition.mWorkspace) {
        if (mSize == 0) {
          each.mAllowance = aPosition.mCost; // As if it were new.
        }
        return each;
      }
    }
    if (mSize == 0) {
      mFlows.clear();
    }
    mFlows.push_back({ std::string(aPosition.mWorkspace),
                       aPosition.mRank,
                       aPosition.mCost,
                       {} });
    return mFlows.back();
  }

  template<class F>
  std::optional<candidate> CandidateOf(std::size_t aFlow, F aAccepts) const
  {
    const auto& entries = mFlows[aFlow].mEntries;
    const auto found =
      std::find_if(entries.begin(), entries.end(), [&](const entry& aEntry) {
        return aAccepts(aEntry.mItem);
      });
    if (found == entries.end()) {
      return std::nullopt;
    }
    return candidate{ aFlow,
                      static_cast<std::size_t>(found - entries.begin()) };
  }

  const entry& EntryOf(const candidate& aCandidate) const
  {
    return mFlows[aCandidate.mFlow].mEntries[aCandidate.mEntry];
  }

  template<class F>
  std::optional<candidate> Choose(F aAccepts)
  {
    if (mFlows.size() == 1) {
      return CandidateOf(0, aAccepts);
    }
    std::vector<candidate> candidates;
    for (std::size_t index = 0; index < mFlows.size(); ++index) {
      if (const auto found = CandidateOf(index, aAccepts)) {
        candidates.push_back(*found);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    if (const auto owed = ChooseOwed(candidates)) {
      return owed;
    }
    const int rank = LowestRank(candidates);
    if (const auto next = ChooseInRound(candidates, rank)) {
      return next;
    }
    StartRound(candidates, rank);
    return ChooseInRound(candidates, rank);
  }

  int LowestRank(const std::vector<candidate>& aCandidates) const
  {
    int rank = mFlows[aCandidates.front().mFlow].mRank;
    for (const candidate& each : aCandidates) {
      rank = std::min(rank, mFlows[each.mFlow].mRank);
    }
    return rank;
  }

  /** The candidate that is owed most, if it is a request or more. */
  std::optional<candidate> ChooseOwed(
    const std::vector<candidate>& aCandidates) const
  {
    std::optional<candidate> best;
    double most = 1;
    for (const candidate& each : aCandidates) {
      const double owed = mRecord.OwedWithNext(mFlows[each.mFlow].mWorkspace);
      const bool earlier =
        !best || EntryOf(each).mAnswerBy < EntryOf(*best).mAnswerBy;
      if (owed > most || (owed == most && earlier)) {
        best = each;
        most = owed;
      }
    }
    return best;
  }

  /** The candidate of a rank that is wanted first, of those whose allowance
   * suffices. */
  std::optional<candidate> ChooseInRound(
    const std::vector<candidate>& aCandidates,
    int aRank) const
  {
    std::optional<candidate> best;
    for (const candidate& each : aCandidates) {
      const flow& source = mFlows[each.mFlow];
      if (source.mRank == aRank && source.mAllowance >= EntryOf(each).mCost &&
          (!best || EntryOf(each).mAnswerBy < EntryOf(*best).mAnswerBy)) {
        best = each;
      }
    }
    return best;
  }

  /** Adds the same allowance to all flows of a rank, as much as the most
   * expensive candidate needs. Flows save none while they have no entries, and
   * no more than one while theirs are not acceptable. */
  void StartRound(const std::vector<candidate>& aCandidates, int aRank)
  {
    model::duration quantum{ 0 };
    for (const candidate& each : aCandidates) {
      if (mFlows[each.mFlow].mRank == aRank) {
        quantum = std::max(quantum, EntryOf(each).mCost);
      }
    }
    for (flow& each : mFlows) {
      if (each.mRank == aRank) {
        each.mAllowance = std::min(each.mAllowance + quantum,
                                   (each.mEntries.empty() ? 1 : 2) * quantum);
      }
    }
  }

  /** Without waiting requests nobody competes; an empty flow is kept until then
   * so that a workspace with one request at a time gets no more than others. A
   * single flow is kept too: memory is not allocated for each request. */
  void ForgetIfEmpty()
  {
    if (mSize == 0 && mFlows.size() > 1) {
      mFlows.clear();
    }
  }

  std::vector<flow> mFlows;
  std::size_t mSize = 0;
  service_record mRecord;
};

} // namespace monsooncroft::serving

#endif
