/**
 * @file leaf_sender.cpp
 * From a fan-out's effects to leaves' gates.
 */
#include "entry/leaf_sender_base.h"

#include "entry/attempt_count_base.h"
#include "entry/leaf_table_base.h"

#include <utility>

namespace monsooncroft::entry {

leaf_sender::leaf_sender(leaf_table& aLeaves,
                         leaf_job aPattern,
                         std::shared_ptr<attempt_count> aCount)
  : mLeaves(aLeaves)
  , mPattern(std::move(aPattern))
  , mCount(std::move(aCount))
{
}

void
leaf_sender::Send(const std::vector<policy::send_effect>& aSends,
                  const callback& aDone)
{
  // Counted first, as the fan-out may react to the end by sending again.
  const callback done = [count = mCount,
                         aDone](const model::attempt_result& aResult) {
    count->OnEnd(aResult);
    aDone(aResult);
  };
  for (const policy::send_effect& send : aSends) {
    mCount->OnSend(send.mShard);
    const model::leaf_id leaf(send.mTarget.Value());
    const std::shared_ptr<leaf_gate> gate = mLeaves.Gate(leaf);
    const char* objection = mLeaves.Objection(mPattern);
    if (!gate || objection != nullptr) {
      done({ send.mAttempt,
             send.mShard,
             leaf,
             model::attempt_outcome::NotSent,
             0,
             objection == nullptr ? "undeclared" : objection,
             "" });
      continue;
    }
    leaf_job job = mPattern;
    job.mRequest.mAttempt = send.mAttempt;
    job.mRequest.mShard = send.mShard;
    job.mItem.mAttempt = send.mAttempt;
    gate->Submit(std::move(job), done);
  }
}

void
leaf_sender::Cancel(const std::vector<policy::cancel_effect>& aCancels)
{
  for (const policy::cancel_effect& cancel : aCancels) {
    const model::leaf_id leaf(cancel.mTarget.Value());
    const std::shared_ptr<leaf_gate> gate = mLeaves.Gate(leaf);
    if (gate) {
      gate->Cancel(cancel.mAttempt);
    }
  }
}

} // namespace monsooncroft::entry
