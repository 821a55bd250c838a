/**
 * @file leaf_sender.cpp
 * From a fan-out's effects to leaves' gates.
 */
#include "entry/leaf_sender_base.h"

#include "entry/leaf_table_base.h"

#include <utility>

namespace monsooncroft::entry {

leaf_sender::leaf_sender(leaf_table& aLeaves, leaf_job aPattern)
  : mLeaves(aLeaves)
  , mPattern(std::move(aPattern))
{
}

void
leaf_sender::Send(const std::vector<policy::send_effect>& aSends,
                  const callback& aDone)
{
  for (const policy::send_effect& send : aSends) {
    const model::leaf_id leaf(send.mTarget.Value());
    const std::shared_ptr<leaf_gate> gate = mLeaves.Gate(leaf);
    const bool allowed = mLeaves.MaySend(mPattern);
    if (!gate || !allowed) {
      aDone({ send.mAttempt,
              send.mShard,
              leaf,
              model::attempt_outcome::NotSent,
              0,
              allowed ? "undeclared" : "quarantined",
              "" });
      continue;
    }
    leaf_job job = mPattern;
    job.mRequest.mAttempt = send.mAttempt;
    job.mRequest.mShard = send.mShard;
    job.mItem.mAttempt = send.mAttempt;
    gate->Submit(std::move(job), aDone);
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
