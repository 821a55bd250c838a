/**
 * @file membership_cmd.cpp
 * Changes of the members' states, and random choices among the members.
 */
#include "cluster/membership_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::cluster {

namespace {

/**
 * A member of another data centre is declared dead after it is missing from the
 * instance list for this time, without contact to its data centre for as long.
 */
constexpr std::chrono::minutes kUnlistedLimit{ 2 };

} // namespace

membership::membership(member aSelf,
                       const cluster_options& aOptions,
                       std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mRandom(aSeed)
{
  Apply(mSelf, model::instant());
}

bool
membership::Merge(const member& aClaim, model::instant aNow)
{
  if (aClaim.mId != mSelf.mId) {
    return Apply(aClaim, aNow);
  }
  if (aClaim.mIncarnation > 0 && Supersedes(aClaim, mSelf)) {
    Refute(aClaim.mIncarnation, aNow);
    return true;
  }
  return false;
}

void
membership::Refute(incarnation aClaimed, model::instant aNow)
{
  mSelf.mIncarnation = std::max(mSelf.mIncarnation, aClaimed) + 1;
  Apply(mSelf, aNow);
}

void
membership::Leave(model::instant aNow)
{
  mSelf.mState = member_state::Leaving;
  Apply(mSelf, aNow);
}

void
membership::OnPause(model::duration /*aGap*/, model::instant aNow)
{
  mProbe.reset();
  mRelayedProbes.clear();
  mNextProbe = aNow;
  for (auto& [id, since] : mSuspectSince) {
    since = aNow;
  }
  Refute(mSelf.mIncarnation, aNow);
}

bool
membership::Apply(const member& aClaim, model::instant aNow)
{
  if (!mTable.Merge(aClaim)) {
    return false;
  }
  RecordState(aClaim, aNow);
  if (aClaim.mIncarnation > 0 || aClaim.mState == member_state::Dead) {
    mChanges.push_back(aClaim);
  }
  if (aClaim.mState != member_state::Dead) {
    DeclareReplacedDead(aClaim, aNow);
  }
  return true;
}

void
membership::RecordState(const member& aClaim, model::instant aNow)
{
  const bool isLocal = aClaim.mDataCentre == mSelf.mDataCentre;
  if (aClaim.mState == member_state::Suspect && isLocal) {
    mSuspectSince[aClaim.mId] = aNow;
  } else {
    mSuspectSince.erase(aClaim.mId);
  }
  if (aClaim.mState == member_state::Dead) {
    mDeadSince[aClaim.mId] = aNow;
  } else {
    mDeadSince.erase(aClaim.mId);
  }
}

/**
 * Of two members at the same address, declares the one with the lower
 * incarnation dead.
 */
void
membership::DeclareReplacedDead(const member& aClaim, model::instant aNow)
{
  const auto [holder, fresh] = mIdByPeer.try_emplace(aClaim.mPeer, aClaim.mId);
  if (fresh || holder->second == aClaim.mId) {
    return;
  }
  const auto* known = mTable.Find(holder->second);
  const bool live = known != nullptr && known->mState != member_state::Dead;
  if (live && known->mIncarnation > aClaim.mIncarnation) {
    Declare(aClaim, member_state::Dead, aNow);
    return;
  }
  holder->second = aClaim.mId;
  if (live) {
    Declare(*known, member_state::Dead, aNow);
  }
}

void
membership::Declare(member aMember, member_state aState, model::instant aNow)
{
  aMember.mState = aState;
  Merge(aMember, aNow);
}

void
membership::OnInstanceList(const std::vector<listed_instance>& aList,
                           model::instant aNow)
{
  mListedIds.clear();
  for (const auto& listed : aList) {
    mListedIds.insert(listed.mId);
    const auto state =
      listed.mLeaving ? member_state::Leaving : member_state::Alive;
    if (listed.mId != mSelf.mId) {
      Apply({ listed.mId, listed.mDataCentre, listed.mPeer, 0, state }, aNow);
    }
  }
  if (!aList.empty()) {
    DeclareUnlistedDead(aNow);
  }
}

void
membership::DeclareUnlistedDead(model::instant aNow)
{
  std::vector<member> unlisted;
  for (const auto& [id, known] : mTable.All()) {
    const bool isLocal = known.mDataCentre == mSelf.mDataCentre;
    const bool listed = mListedIds.count(id) != 0;
    if (isLocal || listed || known.mState == member_state::Dead) {
      mUnlistedSince.erase(id);
      continue;
    }
    const auto since = mUnlistedSince.try_emplace(id, aNow).first->second;
    const auto lastContact = LastContactWith(known.mDataCentre);
    const bool noContact =
      !lastContact || aNow - *lastContact >= kUnlistedLimit;
    if (noContact && aNow - since >= kUnlistedLimit) {
      unlisted.push_back(known);
    }
  }
  for (const auto& known : unlisted) {
    Declare(known, member_state::Dead, aNow);
  }
}

std::vector<member>
membership::TakeChanges()
{
  return std::exchange(mChanges, {});
}

member_list
membership::PickLocalPeers(std::size_t aCount)
{
  member_list others;
  for (const auto& candidate : *mTable.View()->MembersIn(mSelf.mDataCentre)) {
    if (candidate.mId != mSelf.mId) {
      others.push_back(candidate);
    }
  }
  const auto count = std::min(aCount, others.size());
  for (std::size_t index = 0; index < count; ++index) {
    const auto remaining = others.size() - index;
    std::swap(others[index], others[index + (mRandom() % remaining)]);
  }
  others.resize(count);
  return others;
}

std::optional<member>
membership::PickRemotePeer()
{
  const auto view = mTable.View();
  std::vector<member_list_ptr> remoteLists;
  for (const auto& [dataCentre, list] : view->Lists()) {
    if (dataCentre != mSelf.mDataCentre && !list->empty()) {
      remoteLists.push_back(list);
    }
  }
  if (remoteLists.empty()) {
    return std::nullopt;
  }
  const auto& list = *remoteLists[mRandom() % remoteLists.size()];
  return list[mRandom() % list.size()];
}

std::size_t
membership::LocalMemberCount() const
{
  return mTable.View()->MembersIn(mSelf.mDataCentre)->size();
}

std::optional<model::instant>
membership::LastContact() const
{
  std::optional<model::instant> last;
  for (const auto& [dataCentre, contact] : mLastContact) {
    last = last ? std::max(*last, contact) : contact;
  }
  return last;
}

std::optional<model::instant>
membership::LastContactWith(const model::data_centre_id& aDataCentre) const
{
  const auto found = mLastContact.find(aDataCentre);
  if (found == mLastContact.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace monsooncroft::cluster
