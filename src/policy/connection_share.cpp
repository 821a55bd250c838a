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
  // One share more than there are owners is cut, and kept for the hand-over.
  out.mSteady = std::max(1, aLimit / (aOwners + 1));
  const int reserve = aLimit - aOwners * out.mSteady;
  const int all = std::min(out.mSteady, reserve / aOwners);
  out.mNewOwner = std::max(all, std::min(1, reserve));
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
