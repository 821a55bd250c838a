/**
 * @file retransmit_queue.cpp
 * Choice of the items that go with a datagram.
 */
#include "cluster/retransmit_queue_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::cluster {

void
retransmit_queue::Push(const std::string& aKey, std::string aBytes)
{
  mItems[aKey] = item{ std::move(aBytes), 0 };
}

std::vector<std::string>
retransmit_queue::Take(std::size_t aBudget, int aLimit)
{
  constexpr std::size_t kItemOverhead = 3; // Length prefix of a byte string.
  std::vector<std::map<std::string, item>::iterator> order;
  for (auto entry = mItems.begin(); entry != mItems.end(); ++entry) {
    order.push_back(entry);
  }
  std::stable_sort(order.begin(), order.end(), [](auto aLeft, auto aRight) {
    return aLeft->second.mSendCount < aRight->second.mSendCount;
  });
  std::vector<std::string> taken;
  for (const auto entry : order) {
    const auto cost = entry->second.mBytes.size() + kItemOverhead;
    if (cost > aBudget) {
      continue;
    }
    aBudget -= cost;
    taken.push_back(entry->second.mBytes);
    ++entry->second.mSendCount;
    if (entry->second.mSendCount >= aLimit) {
      mItems.erase(entry);
    }
  }
  return taken;
}

} // namespace monsooncroft::cluster
