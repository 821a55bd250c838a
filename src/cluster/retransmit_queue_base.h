/**
 * @file retransmit_queue_base.h
 * News that rides on datagrams a limited number of times.
 */
#ifndef MONSOONCROFT_CLUSTER_RETRANSMIT_QUEUE_BASE_H
#define MONSOONCROFT_CLUSTER_RETRANSMIT_QUEUE_BASE_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace monsooncroft::cluster {

/** Items waiting to be spread; those sent least often go first. */
class retransmit_queue
{
public:
  /**
   * Adds an item, in place of an older one of the same key.
   * @param aKey What it is about.
   * @param aBytes The encoded item.
   */
  void Push(const std::string& aKey, std::string aBytes);

  /**
   * Takes items for one datagram.
   * @param aBudget Bytes that fit.
   * @param aLimit Times an item is sent before it is dropped.
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
  std::map<std::string, item> mItems; ///< By key.
};

} // namespace monsooncroft::cluster

#endif
