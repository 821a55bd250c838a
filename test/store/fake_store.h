/**
 * @file fake_store.h
 * A key-value store in memory whose calls can go wrong in every known way.
 */
#ifndef MONSOONCROFT_TEST_STORE_FAKE_STORE_H
#define MONSOONCROFT_TEST_STORE_FAKE_STORE_H

#include "store/store_type.h"

#include <map>
#include <string>
#include <vector>

namespace monsooncroft::store {

/** How one call goes wrong. */
enum class store_fault
{
  None,
  Unavailable, ///< Refused; not carried out.
  AnswerLost,  ///< Carried out; the answer is lost.
  RequestLost, ///< Not carried out; the caller cannot tell.
  Delayed,     ///< Carried out later, by Land(); the caller cannot tell.
  Stale,       ///< A read answers with the value before the latest.
};

/** The store's state; copyable, so that every order of events can be tried. */
class fake_store
{
public:
  read_outcome Get(const std::string& aKey, store_fault aFault) const
  {
    const bool lost =
      aFault != store_fault::None && aFault != store_fault::Stale;
    if (lost) {
      return { store_status::Unavailable, 0, {} };
    }
    const auto found = mHistory.find(aKey);
    const std::size_t back = aFault == store_fault::Stale ? 2 : 1;
    if (found == mHistory.end() || found->second.size() < back) {
      return { store_status::NotFound, 0, {} };
    }
    const std::size_t at = found->second.size() - back;
    const entry& read = found->second[at];
    return read.mDeleted
             ? read_outcome{ store_status::NotFound, 0, {} }
             : read_outcome{ store_status::Ok, at + 1, read.mValue };
  }

  write_outcome Swap(const std::string& aKey,
                     revision aExpect,
                     const std::string& aValue,
                     store_fault aFault)
  {
    return Write({ aKey, aExpect, { aValue, false } }, aFault);
  }

  write_outcome Delete(const std::string& aKey,
                       revision aExpect,
                       store_fault aFault)
  {
    return Write({ aKey, aExpect, { "", true } }, aFault);
  }

  /** Carries out a delayed write. */
  void Land(std::size_t aIndex)
  {
    const write late = mDelayed[aIndex];
    mDelayed.erase(mDelayed.begin() + static_cast<std::ptrdiff_t>(aIndex));
    CarryOut(late);
  }

  std::size_t Delayed() const { return mDelayed.size(); }

  /** Every value that a key ever had, deletions left out. */
  std::vector<std::string> Values(const std::string& aKey) const
  {
    std::vector<std::string> out;
    const auto found = mHistory.find(aKey);
    if (found != mHistory.end()) {
      for (const entry& each : found->second) {
        if (!each.mDeleted) {
          out.push_back(each.mValue);
        }
      }
    }
    return out;
  }

  std::size_t Keys() const
  {
    std::size_t out = 0;
    for (const auto& [key, entries] : mHistory) {
      out += entries.back().mDeleted ? 0 : 1;
    }
    return out;
  }

  std::string Describe() const
  {
    std::string out;
    for (const auto& [key, entries] : mHistory) {
      out += key + "\n";
      for (const entry& each : entries) {
        out += each.mDeleted ? "deleted\n" : each.mValue + "\n";
      }
    }
    for (const write& late : mDelayed) {
      out += "late " + late.mKey + std::to_string(late.mExpect) +
             late.mEntry.mValue + "\n";
    }
    return out;
  }

private:
  struct entry
  {
    std::string mValue;
    bool mDeleted = false;
  };
  struct write
  {
    std::string mKey;
    revision mExpect = 0;
    entry mEntry;
  };

  write_outcome Write(const write& aWrite, store_fault aFault)
  {
    switch (aFault) {
      case store_fault::Unavailable:
        return { store_status::Unavailable, 0 };
      case store_fault::RequestLost:
        return { store_status::Ambiguous, 0 };
      case store_fault::Delayed:
        mDelayed.push_back(aWrite);
        return { store_status::Ambiguous, 0 };
      case store_fault::AnswerLost:
        CarryOut(aWrite);
        return { store_status::Ambiguous, 0 };
      default:
        return CarryOut(aWrite);
    }
  }

  write_outcome CarryOut(const write& aWrite)
  {
    auto& entries = mHistory[aWrite.mKey];
    const bool absent = entries.empty() || entries.back().mDeleted;
    const revision at = absent ? 0 : entries.size();
    if (at != aWrite.mExpect) {
      return { store_status::Conflict, at };
    }
    entries.push_back(aWrite.mEntry);
    return { store_status::Ok, entries.size() };
  }

  std::map<std::string, std::vector<entry>> mHistory; ///< By key.
  std::vector<write> mDelayed; ///< Writes that have not landed yet.
};

} // namespace monsooncroft::store

#endif
