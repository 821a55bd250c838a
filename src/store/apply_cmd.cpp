/**
 * @file apply_cmd.cpp
 * The state machine that puts a manifest into force.
 */
#include "store/apply_base.h"

#include "store/head_json_func.h"

#include <algorithm>
#include <cassert>
#include <sstream>

namespace monsooncroft::store {

chunk_ref*
apply_machine::pending_chunk::Place(head& aHead) const
{
  return mPlace == 0 ? &aHead.mTenants : &aHead.mServices[mPlace - 1].mChunk;
}

apply_machine::apply_machine(apply_request aRequest)
  : mRequest(std::make_shared<const apply_request>(std::move(aRequest)))
{
}

std::optional<store_call>
apply_machine::Next() const
{
  switch (mPhase) {
    case phase::ReadHead:
    case phase::Settle:
      return get_call{ kHeadKey };
    case phase::Prune: {
      const chunk_ref& chunk = mToDelete[mDone].mChunk;
      return delete_call{ chunk.Key(), chunk.mRevision };
    }
    case phase::WriteChunks: {
      head next = mNext;
      const pending_chunk& pending = mToWrite[mDone];
      return swap_call{ pending.Place(next)->Key(), 0, pending.mText->mText };
    }
    case phase::SwapHead:
      return swap_call{ kHeadKey, mBaseRevision, EmitHead(mNext) };
    case phase::Done:
      break;
  }
  return std::nullopt;
}

void
apply_machine::OnRead(const read_outcome& aOutcome)
{
  assert(mPhase == phase::ReadHead || mPhase == phase::Settle);
  const bool answered = aOutcome.mStatus == store_status::Ok ||
                        aOutcome.mStatus == store_status::NotFound;
  if (!answered) {
    Fail(std::string("the head could not be read: ") +
         ToString(aOutcome.mStatus));
    return;
  }
  if (mPhase == phase::ReadHead) {
    OnBaseHead(aOutcome);
  } else {
    OnSettlingHead(aOutcome);
  }
}

void
apply_machine::OnWrite(const write_outcome& aOutcome)
{
  switch (mPhase) {
    case phase::Prune:
      OnChunkDeleted(aOutcome);
      break;
    case phase::WriteChunks:
      OnChunkWritten(aOutcome);
      break;
    case phase::SwapHead:
      OnHeadSwapped(aOutcome);
      break;
    default:
      assert(false);
  }
}

void
apply_machine::OnBaseHead(const read_outcome& aOutcome)
{
  head found;
  if (aOutcome.mStatus == store_status::Ok) {
    auto parsed = ParseHead(aOutcome.mValue);
    if (parsed.has_error()) {
      Finish(apply_end::NotApplied,
             "the head is invalid: " + ToString(parsed.error().front()));
      return;
    }
    found = std::move(parsed.value());
  }
  mVerdict.mNewest = std::max(mVerdict.mNewest, found.mVersion);
  const auto accepted = found.VersionOf(mRequest->mChange);
  if (accepted) {
    mVerdict.mVersion = *accepted;
    Finish(apply_end::Accepted, "");
    return;
  }
  const auto least = std::max(mRequest->mSeen, mRequest->mBase.value_or(0));
  if (found.mVersion < least && !mRequest->mRecover) {
    Fail("the head read is at version " + std::to_string(found.mVersion) +
         ", though version " + std::to_string(least) + " was seen before");
    return;
  }
  if (mRequest->mBase && found.mVersion > *mRequest->mBase) {
    mVerdict.mVersion = *mRequest->mBase + 1;
    mVerdict.mWinner =
      found.ChangeOf(mVerdict.mVersion).value_or(found.mChange);
    Finish(apply_end::Conflict, "the plan was made against an older version");
    return;
  }
  mBase = std::move(found);
  mBaseRevision = aOutcome.mRevision;
  BuildNext();
  Enter(phase::Prune);
}

void
apply_machine::BuildNext()
{
  mNext = head();
  const model::manifest_version floor =
    mRequest->mRecover ? mRequest->mSeen : 0;
  mNext.mVersion = std::max(mBase.mVersion, floor) + 1;
  mNext.mParent = mBase.mVersion;
  mNext.mChange = mRequest->mChange;
  mNext.mChanges.push_back({ mNext.mVersion, mNext.mChange });
  const std::size_t kept =
    std::min(mBase.mChanges.size(), kRememberedChanges - 1);
  mNext.mChanges.insert(mNext.mChanges.end(),
                        mBase.mChanges.begin(),
                        mBase.mChanges.begin() +
                          static_cast<std::ptrdiff_t>(kept));
  std::map<std::string, chunk_ref> present;
  if (mBase.mVersion > 0) {
    for (const chunk_ref& chunk : mBase.Chunks()) {
      present.emplace(chunk.mHash, chunk);
    }
  }
  for (const service_text& entry : mRequest->mServices) {
    mNext.mServices.push_back({ entry.mService, {} });
  }
  PlaceChunk(mNext.mTenants, mRequest->mTenants, present);
  for (std::size_t i = 0; i < mRequest->mServices.size(); ++i) {
    PlaceChunk(
      mNext.mServices[i].mChunk, mRequest->mServices[i].mChunk, present);
  }
  RetireChunks();
}

void
apply_machine::PlaceChunk(chunk_ref& aPlace,
                          const chunk_text& aText,
                          const std::map<std::string, chunk_ref>& aPresent)
{
  const auto found = aPresent.find(aText.mHash);
  if (found != aPresent.end()) {
    aPlace = found->second;
    return;
  }
  aPlace = { aText.mHash, mRequest->mChange, 0 };
  std::size_t place = 0;
  while (place < mNext.mServices.size() &&
         &mNext.mServices[place].mChunk != &aPlace) {
    ++place;
  }
  const bool tenants = &aPlace == &mNext.mTenants;
  mToWrite.push_back({ tenants ? 0 : place + 1, &aText });
}

void
apply_machine::RetireChunks()
{
  for (const retired_chunk& entry : mBase.mRetired) {
    if (entry.mSince + kRetiredVersions <= mNext.mVersion) {
      mToDelete.push_back(entry);
    } else {
      mNext.mRetired.push_back(entry);
    }
  }
  if (mBase.mVersion == 0) {
    return;
  }
  const std::vector<chunk_ref> kept = mNext.Chunks();
  for (const chunk_ref& chunk : mBase.Chunks()) {
    if (std::find(kept.begin(), kept.end(), chunk) == kept.end()) {
      mNext.mRetired.push_back({ mNext.mVersion, chunk });
    }
  }
}

void
apply_machine::OnChunkDeleted(const write_outcome& aOutcome)
{
  // Pruning never holds up a change: what could not be deleted now stays
  // listed for the next one.
  const bool gone = aOutcome.mStatus == store_status::Ok ||
                    aOutcome.mStatus == store_status::Conflict ||
                    aOutcome.mStatus == store_status::NotFound;
  if (!gone) {
    mNext.mRetired.push_back(mToDelete[mDone]);
  }
  ++mDone;
  Advance();
}

void
apply_machine::OnChunkWritten(const write_outcome& aOutcome)
{
  // The key holds the hash and this change's name: one that is there already
  // holds this very text, from a write whose answer was lost.
  const bool there = aOutcome.mStatus == store_status::Ok ||
                     aOutcome.mStatus == store_status::Conflict;
  if (!there) {
    Fail(std::string("a chunk could not be written: ") +
         ToString(aOutcome.mStatus));
    return;
  }
  mToWrite[mDone].Place(mNext)->mRevision = aOutcome.mRevision;
  mFailures = 0;
  ++mDone;
  Advance();
}

void
apply_machine::OnHeadSwapped(const write_outcome& aOutcome)
{
  mVerdict.mVersion = mNext.mVersion;
  switch (aOutcome.mStatus) {
    case store_status::Ok:
      mVerdict.mNewest = std::max(mVerdict.mNewest, mNext.mVersion);
      Finish(apply_end::Accepted, "");
      return;
    case store_status::Conflict:
      // The head has moved past the revision that every swap of ours expects:
      // from here on none of them can take effect any more.
      mLeastRevision = std::max(aOutcome.mRevision, mBaseRevision + 1);
      Enter(phase::Settle);
      return;
    case store_status::Ambiguous:
      mMaybeWritten = true;
      break;
    default:
      break;
  }
  // The same swap again: at most one of the two can take effect.
  Fail(std::string("the head could not be swapped: ") +
       ToString(aOutcome.mStatus));
}

void
apply_machine::OnSettlingHead(const read_outcome& aOutcome)
{
  if (aOutcome.mRevision < mLeastRevision) {
    Fail("the head read is older than the one that refused the swap");
    return;
  }
  const auto parsed = ParseHead(aOutcome.mValue);
  if (parsed.has_error()) {
    Fail("the head is invalid: " + ToString(parsed.error().front()));
    return;
  }
  const head& found = parsed.value();
  mVerdict.mNewest = std::max(mVerdict.mNewest, found.mVersion);
  const auto accepted = found.VersionOf(mRequest->mChange);
  if (accepted) {
    mVerdict.mVersion = *accepted;
    Finish(apply_end::Accepted, "");
    return;
  }
  const bool forgotten = found.mVersion >= mNext.mVersion + kRememberedChanges;
  if (mMaybeWritten && forgotten) {
    Finish(apply_end::Unknown, "the head no longer names changes that old");
    return;
  }
  mVerdict.mWinner = found.ChangeOf(mNext.mVersion).value_or(change_id());
  Finish(apply_end::Conflict, "another change was accepted first");
}

void
apply_machine::Enter(phase aPhase)
{
  mPhase = aPhase;
  mDone = 0;
  mFailures = 0;
  Advance();
}

void
apply_machine::Advance()
{
  if (mPhase == phase::Prune && mDone == mToDelete.size()) {
    Enter(phase::WriteChunks);
    return;
  }
  if (mPhase == phase::WriteChunks && mDone == mToWrite.size()) {
    // A head that cannot be read would shut out every later change.
    const auto readable = ParseHead(EmitHead(mNext));
    if (readable.has_error()) {
      Finish(apply_end::NotApplied,
             "the head would be invalid: " +
               ToString(readable.error().front()));
      return;
    }
    Enter(phase::SwapHead);
  }
}

void
apply_machine::Fail(const std::string& aReason)
{
  ++mFailures;
  if (mFailures < mRequest->mAttempts) {
    return;
  }
  if (mPhase == phase::Settle && !mMaybeWritten) {
    Finish(apply_end::Conflict, "another change was accepted first");
    return;
  }
  Finish(mMaybeWritten ? apply_end::Unknown : apply_end::NotApplied, aReason);
}

void
apply_machine::Finish(apply_end aEnd, const std::string& aReason)
{
  mVerdict.mEnd = aEnd;
  mVerdict.mReason = aReason;
  // What this run saw says nothing of a swap that an earlier run has sent.
  if (mRequest->mRepeated && aEnd != apply_end::Accepted) {
    mVerdict.mEnd = apply_end::Unknown;
    mVerdict.mReason += "; an earlier run may still take effect";
  }
  mPhase = phase::Done;
}

std::string
apply_machine::Describe() const
{
  std::ostringstream out;
  out << mRequest->mChange << " phase " << static_cast<int>(mPhase)
      << " failures " << mFailures << " base " << mBase.mVersion << "@"
      << mBaseRevision << " done " << mDone << " maybe " << mMaybeWritten
      << " least " << mLeastRevision << " end "
      << static_cast<int>(mVerdict.mEnd) << " version " << mVerdict.mVersion
      << " newest " << mVerdict.mNewest << " winner " << mVerdict.mWinner;
  out << " next " << HashChunk(EmitHead(mNext));
  return out.str();
}

} // namespace monsooncroft::store
