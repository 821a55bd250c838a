/**
 * @file connection_share_func.h
 * One instance's share of a leaf's connection limit.
 */
#ifndef MONSOONCROFT_POLICY_CONNECTION_SHARE_FUNC_H
#define MONSOONCROFT_POLICY_CONNECTION_SHARE_FUNC_H

namespace monsooncroft::policy {

/** Connections that one owner may hold to one leaf. */
struct connection_share
{
  int mSteady = 0;   ///< Once all former owners have closed theirs.
  int mNewOwner = 0; ///< During the hand-over after it became an owner.

  bool operator==(const connection_share&) const = default;
};

/**
 * Splits a leaf's limit so that owners and former owners together stay within
 * it. With s = mSteady and the reserve r = limit - owners * s, up to
 * min(owners, r / mNewcomer) owners may be replaced within one hand-over.
 * @param aLimit Connections that the leaf accepts from all.
 * @param aOwners Owners of the leaf at one time.
 * @return The share; mSteady is 0 if there are more owners than connections.
 */
connection_share
ComputeConnectionShare(int aLimit, int aOwners);

/** Owners that may be replaced within one hand-over, at this share. */
int
ReplaceableOwners(int aLimit, int aOwners);

} // namespace monsooncroft::policy

#endif
