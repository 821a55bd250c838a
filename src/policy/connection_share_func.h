/**
 * @file connection_share_func.h
 * One instance's share of a leaf's connection limit.
 */
#ifndef MONSOONCROFT_POLICY_CONNECTION_SHARE_FUNC_H
#define MONSOONCROFT_POLICY_CONNECTION_SHARE_FUNC_H

namespace monsooncroft::policy {

/** Number of connections that one owner may hold to one leaf. */
struct connection_share
{
  int mSteady = 0;   ///< After all former owners have closed their connections.
  int mNewOwner = 0; ///< During the hand-over to a new owner.

  bool operator==(const connection_share&) const = default;
};

/**
 * Splits a leaf's connection limit so that owners and former owners together
 * stay within it. With s = mSteady and the reserve r = limit - owners * s, up
 * to min(owners, r / mNewOwner) owners may be replaced within one hand-over.
 * @param aLimit Connections that the leaf accepts in total.
 * @param aOwners Number of simultaneous owners of the leaf.
 * @return The share; mSteady is 0 if there are more owners than connections.
 */
connection_share
ComputeConnectionShare(int aLimit, int aOwners);

/** Number of owners that may be replaced within one hand-over. */
int
ReplaceableOwners(int aLimit, int aOwners);

} // namespace monsooncroft::policy

#endif
