/**
 * @file standin_store.h
 * A small store on loopback that speaks the platform's protocol.
 */
#ifndef MONSOONCROFT_TEST_ADAPTER_STANDIN_STORE_H
#define MONSOONCROFT_TEST_ADAPTER_STANDIN_STORE_H

#include "gateway/fake_leaf.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace monsooncroft::adapter {

/** Reads, watches, and restores from an older copy. Writes are made by the
 * test. */
class standin_store
{
public:
  /** What a restore brings back. */
  struct copy
  {
    struct item
    {
      std::string mValue;
      std::uint64_t mRevision = 0;
    };
    std::map<std::string, item> mItems;
    std::uint64_t mRevision = 1;
  };

  standin_store(gateway::event_loop& aLoop, const ops::log& aLog);

  model::endpoint Address() const { return mServer.Address(); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  copy Save() const { return mContent; }
  /** Goes back to a copy and begins the next era.
   * @param aEndWatches Whether pending watches end; otherwise they are never
   * answered. */
  void Restore(const copy& aCopy, bool aEndWatches);
  /** Never answers watches from now on, as on connections that have fallen
   * silent. */
  void SilenceWatches() { mWatchesAreSilent = true; }
  /** Chooses the content that a page of a range shows, by the key that it
   * begins after and whether it may be stale. */
  using page_source = std::function<copy(const std::string&, bool)>;
  void SetPageSource(page_source aSource) { mPageSource = std::move(aSource); }
  /** Sets the number of items in a page of a range. */
  void SetPageItems(std::size_t aItems) { mPageItems = aItems; }
  std::uint64_t Revision() const { return mContent.mRevision; }
  int Calls() const { return mServer.mRequests; }

private:
  struct watch
  {
    gateway::fake_leaf::connection* mConnection;
    std::string mPrefix;
    std::uint64_t mAfter;
  };

  void Answer(gateway::fake_leaf::connection& aConnection,
              const gateway::http_message& aRequest);
  void AnswerKey(gateway::fake_leaf::connection& aConnection,
                 const std::string& aKey);
  void AnswerRange(gateway::fake_leaf::connection& aConnection,
                   const std::string& aPrefix,
                   const std::string& aAfter,
                   bool aMayBeStale);
  /** @return Whether there are changes to return. */
  bool AnswerWatch(const watch& aWatch);
  void AnswerWatches();
  void Write(gateway::fake_leaf::connection& aConnection,
             int aStatus,
             const std::string& aBody) const;
  static nlohmann::json Item(const std::string& aKey, const copy::item& aItem);
  nlohmann::json Item(const std::string& aKey) const;

  copy mContent;
  std::uint64_t mEra = 1;
  /** Last change of each key, also of removed ones. */
  std::map<std::string, std::uint64_t> mLastChanges;
  std::vector<watch> mWatches;
  bool mWatchesAreSilent = false;
  std::size_t mPageItems = 500;
  page_source mPageSource;
  gateway::fake_leaf mServer;
};

} // namespace monsooncroft::adapter

#endif
