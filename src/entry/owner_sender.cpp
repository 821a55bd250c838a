/**
 * @file owner_sender.cpp
 * One message an owner, whatever the number of shards.
 */
#include "entry/owner_sender_base.h"

#include "entry/clock_func.h"
#include "entry/owner_service_base.h"
#include "entry/relay_codec_func.h"
#include "entry/snapshot_table_base.h"
#include "entry/target_table_base.h"
#include "net/http_pool_base.h"

#include <algorithm>
#include <map>
#include <utility>

namespace monsooncroft::entry {

namespace {

constexpr char kTargetSeparator = '|';
/** The owner answers this long before the root needs the reply. */
constexpr model::duration kReplyMargin{ 5000 };
constexpr model::duration kLeastRemaining{ 1000 };
constexpr model::duration kCancelTimeout{ 1000000 };

net::http_request
Post(const char* aTarget, std::string aBody)
{
  return { "POST", aTarget, std::move(aBody) };
}

} // namespace

policy::target_id
owner_target::ToTarget() const
{
  return policy::target_id(mInstance.Value() + kTargetSeparator +
                           mDataCentre.Value());
}

owner_target
owner_target::FromTarget(const policy::target_id& aTarget)
{
  const std::string& text = aTarget.Value();
  const auto separator = text.find(kTargetSeparator);
  return { model::instance_id(text.substr(0, separator)),
           model::data_centre_id(text.substr(separator + 1)) };
}

owner_sender::owner_sender(owner_links aLinks,
                           cluster::member_view_ptr aView,
                           relay_request aPattern,
                           model::instant aDeadline,
                           std::shared_ptr<shared_budget> aBudget)
  : mLinks(std::move(aLinks))
  , mView(std::move(aView))
  , mPattern(std::move(aPattern))
  , mDeadline(aDeadline)
  , mBudget(std::move(aBudget))
{
}

void
owner_sender::Send(const std::vector<policy::send_effect>& aSends,
                   const callback& aDone)
{
  std::map<policy::target_id, std::vector<policy::send_effect>> byOwner;
  for (const policy::send_effect& send : aSends) {
    byOwner[send.mTarget].push_back(send);
  }
  for (const auto& [target, sends] : byOwner) {
    const owner_target owner = owner_target::FromTarget(target);
    const std::size_t most =
      mLinks.mShardsPerMessage == 0 ? sends.size() : mLinks.mShardsPerMessage;
    for (std::size_t from = 0; from < sends.size(); from += most) {
      const auto first = sends.begin() + static_cast<std::ptrdiff_t>(from);
      const std::size_t count = std::min(most, sends.size() - from);
      SendTo(
        owner, { first, first + static_cast<std::ptrdiff_t>(count) }, aDone);
    }
  }
}

void
owner_sender::SendTo(const owner_target& aOwner,
                     const std::vector<policy::send_effect>& aSends,
                     const callback& aDone)
{
  relay_request request = mPattern;
  request.mDataCentre = aOwner.mDataCentre;
  request.mRemaining =
    std::max(mDeadline - Now() - kReplyMargin, kLeastRemaining);
  for (const policy::send_effect& send : aSends) {
    request.mShards.push_back({ send.mShard, send.mAttempt });
  }
  if (aOwner.mInstance == mLinks.mSelf) {
    const model::instant start = Now();
    mLinks.mLocal.Run(
      request,
      [self = shared_from_this(), aOwner, request, start, aDone](
        const relay_reply& aReply) {
        self->mBudget->OnLatency(Now() - start, Now());
        self->OnReply(aOwner, request, aReply, start, aDone);
      });
    return;
  }
  Relay(aOwner, request, aDone);
}

void
owner_sender::Relay(const owner_target& aOwner,
                    const relay_request& aRequest,
                    const callback& aDone)
{
  const cluster::member* owner = mView->Find(aOwner.mInstance);
  if (owner == nullptr) {
    FailAll(aRequest, model::attempt_outcome::NotSent, "owner_unknown", aDone);
    return;
  }
  const model::instant start = Now();
  mLinks.mPool.Send(
    owner->mPeer,
    Post(kRelayTarget, Emit(aRequest)),
    mDeadline - start,
    [self = shared_from_this(), aOwner, aRequest, start, aDone](
      const net::exchange_result& aResult) {
      self->mBudget->OnLatency(Now() - start, Now());
      if (aResult.mState == net::send_state::NotSent) {
        FailAll(
          aRequest, model::attempt_outcome::NotSent, "owner_unreached", aDone);
        return;
      }
      const std::optional<relay_reply> reply =
        aResult.mState == net::send_state::Replied
          ? ParseRelayReply(aResult.mResponse.mBody)
          : std::nullopt;
      if (reply) {
        self->OnReply(aOwner, aRequest, *reply, start, aDone);
      } else {
        self->mLinks.mTargets.Add(
          aRequest.mService, aOwner.ToTarget(), Now() - start);
        FailAll(aRequest, model::attempt_outcome::Lost, "owner_lost", aDone);
      }
    });
}

void
owner_sender::OnReply(const owner_target& aOwner,
                      const relay_request& aRequest,
                      const relay_reply& aReply,
                      model::instant aStart,
                      const callback& aDone)
{
  // A quick refusal says nothing about how long an answer takes.
  const bool ran = std::any_of(aReply.mResults.begin(),
                               aReply.mResults.end(),
                               [](const model::attempt_result& aResult) {
                                 return !model::DidNotRun(aResult.mOutcome);
                               });
  if (ran) {
    mLinks.mTargets.Add(aRequest.mService, aOwner.ToTarget(), Now() - aStart);
  }
  mLeafAttempts += aReply.mSent;
  mLinks.mSnapshots.OnHeld(aRequest.mService, aReply.mHeld);
  std::map<model::attempt_id, const model::attempt_result*> byAttempt;
  for (const model::attempt_result& result : aReply.mResults) {
    byAttempt[result.mAttempt] = &result;
  }
  for (const relay_shard& shard : aRequest.mShards) {
    const auto found = byAttempt.find(shard.mAttempt);
    if (found != byAttempt.end()) {
      aDone(*found->second);
    } else {
      aDone({ shard.mAttempt,
              shard.mShard,
              {},
              model::attempt_outcome::Lost,
              0,
              "not_in_reply",
              "" });
    }
  }
}

void
owner_sender::FailAll(const relay_request& aRequest,
                      model::attempt_outcome aOutcome,
                      const char* aReason,
                      const callback& aDone)
{
  for (const relay_shard& shard : aRequest.mShards) {
    aDone({ shard.mAttempt, shard.mShard, {}, aOutcome, 0, aReason, "" });
  }
}

void
owner_sender::Cancel(const std::vector<policy::cancel_effect>& aCancels)
{
  std::map<policy::target_id, std::vector<model::attempt_id>> byOwner;
  for (const policy::cancel_effect& cancel : aCancels) {
    byOwner[cancel.mTarget].push_back(cancel.mAttempt);
  }
  for (const auto& [target, attempts] : byOwner) {
    const owner_target owner = owner_target::FromTarget(target);
    if (owner.mInstance == mLinks.mSelf) {
      mLinks.mLocal.Cancel(attempts);
      continue;
    }
    const cluster::member* member = mView->Find(owner.mInstance);
    if (member != nullptr) {
      mLinks.mPool.Send(member->mPeer,
                        Post(kCancelTarget, EmitCancel(attempts)),
                        kCancelTimeout,
                        [](const net::exchange_result& /*aResult*/) {});
    }
  }
}

} // namespace monsooncroft::entry
