/**
 * @file connection_share.cpp
 * Splitting a leaf's connection limit.
 */
#include "policy/connection_share_func.h"

#include <algorithm>

namespace monsooncroft::policy {

connection_share
ComputeConnectionShare(int aLimit, int aOwners)
{
  if (aOwners <= 0 || aLimit < aOwners) {
    return {};
  }
  connection_share out;
  // The limit is divided by one more than the number of owners; the remaining
  // share is the reserve for hand-overs.
  out.mSteady = std::max(1, aLimit / (aOwners + 1));
  const int reserve = aLimit - aOwners * out.mSteady;
  const int evenReserve = std::min(out.mSteady, reserve / aOwners);
  out.mNewOwner = std::max(evenReserve, std::min(1, reserve));
  return out;
}

int
ReplaceableOwners(int aLimit, int aOwners)
{
  const connection_share share = ComputeConnectionShare(aLimit, aOwners);
  if (share.mNewOwner == 0) {
    return 0;
  }
  const int reserve = aLimit - aOwners * share.mSteady;
  return std::min(aOwners, reserve / share.mNewOwner);
}

} // namespace monsooncroft::policy
