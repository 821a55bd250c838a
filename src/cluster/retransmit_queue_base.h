/**
 * @file retransmit_queue_base.h
 * Gossip items that are piggybacked on datagrams a limited number of times.
 */
#ifndef MONSOONCROFT_CLUSTER_RETRANSMIT_QUEUE_BASE_H
#define MONSOONCROFT_CLUSTER_RETRANSMIT_QUEUE_BASE_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace monsooncroft::cluster {

/** Queue of gossip items. The items sent least often go first. */
class retransmit_queue
{
public:
  /**
   * Adds an item, or replaces the item with the same key.
   * @param aKey Key of the item's subject.
   * @param aBytes The encoded item.
   */
  void Push(const std::string& aKey, std::string aBytes);

  /**
   * Takes the items for one datagram and counts them as sent.
   * @param aBudget Bytes left in the datagram.
   * @param aLimit Number of times an item is sent before it is dropped.
   */
  std::vector<std::string> Take(std::size_t aBudget, int aLimit);

  bool Empty() const { return mItems.empty(); }
  std::size_t Count() const { return mItems.size(); }

private:
  struct item
  {
    std::string mBytes;
    int mSendCount = 0;
  };
  std::map<std::string, item> mItems; ///< Key: subject of the item.
};

} // namespace monsooncroft::cluster

#endif
