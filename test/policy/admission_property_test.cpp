/**
 * @file admission_property_test.cpp
 * Invariants of an admission queue under any order of events.
 */
#include "policy/admission_queue_base.h"
#include "test/policy/fixed_seed.h"

namespace monsooncroft::policy {
namespace {

using namespace std::chrono_literals;
using model::attempt_id;
using model::attempt_outcome;

/** Sends random events to one queue and tracks the state of every attempt. */
class random_driver
{
public:
  random_driver()
    : mSlots(*rc::gen::inRange(1, 5))
    , mQueue(mSlots, Settings())
  {
  }

  void Run()
  {
    for (int step = *rc::gen::inRange(0, 80); step > 0; --step) {
      Step();
      RC_ASSERT(mQueue.Running() == mRunning.size());
      RC_ASSERT(mQueue.Waiting() == mWaiting.size());
      RC_ASSERT(mRunning.size() <= static_cast<std::size_t>(mSlots));
      RC_ASSERT(mWaiting.size() <= kLimit);
      // No slot stays free while an attempt waits.
      RC_ASSERT(mWaiting.empty() ||
                mRunning.size() >= static_cast<std::size_t>(mQueue.Slots()));
    }
    while (!mRunning.empty()) {
      End(*mRunning.begin(), attempt_outcome::Ok);
    }
    RC_ASSERT(mWaiting.empty());
  }

private:
  static constexpr std::size_t kLimit = 5;

  static admission_settings Settings()
  {
    admission_settings out;
    out.mQueueLimit = kLimit;
    out.mMode =
      *rc::gen::element(admission_mode::Weighted, admission_mode::Fifo);
    return out;
  }

  void Step()
  {
    const int kind = *rc::gen::inRange(0, 12);
    if (kind < 5) {
      Offer();
    } else if (kind < 8 && !mRunning.empty()) {
      End(*mRunning.begin(),
          static_cast<attempt_outcome>(*rc::gen::inRange(0, 6)));
    } else if (kind == 8 && !mWaiting.empty()) {
      Apply(mQueue.OnCancel(mWaiting.begin()->first));
    } else if (kind == 9) {
      Apply(mQueue.SetDraining(*rc::gen::inRange(0, 4) == 0));
    } else if (kind == 10) {
      End(attempt_id("unknown"), attempt_outcome::Ok);
    } else {
      mNow += std::chrono::milliseconds(*rc::gen::inRange(0, 20));
      Apply(mQueue.OnTimer(mNow));
    }
  }

  void Offer()
  {
    admission_item item;
    item.mAttempt = attempt_id(std::to_string(++mOffered));
    item.mUrgency = static_cast<model::urgency>(*rc::gen::inRange(0, 3));
    item.mWorkspace =
      model::workspace_id(std::to_string(*rc::gen::inRange(0, 3)));
    item.mWeight = *rc::gen::inRange(0, 4);
    item.mDeadline =
      mNow + std::chrono::milliseconds(*rc::gen::inRange(-5, 100));
    mWaiting.emplace(item.mAttempt, item.mDeadline);
    Apply(mQueue.Offer(item, mNow));
  }

  void End(const attempt_id& aAttempt, attempt_outcome aOutcome)
  {
    const attempt_id attempt = aAttempt;
    mRunning.erase(attempt);
    Apply(mQueue.OnDone(attempt,
                        aOutcome,
                        std::chrono::milliseconds(*rc::gen::inRange(1, 40)),
                        mNow));
  }

  /** Checks that each attempt is dispatched or refused once, and none is
   * dispatched after its deadline. */
  void Apply(const admission_effects& aEffects)
  {
    for (const admission_effect& effect : aEffects) {
      if (const auto* sent = std::get_if<dispatch_effect>(&effect)) {
        const auto item = mWaiting.find(sent->mAttempt);
        RC_ASSERT(item != mWaiting.end());
        RC_ASSERT(mNow < item->second);
        mWaiting.erase(item);
        mRunning.insert(sent->mAttempt);
      } else {
        const auto& refused = std::get<refuse_effect>(effect);
        RC_ASSERT(mWaiting.erase(refused.mAttempt) == 1);
      }
    }
  }

  int mSlots;
  admission_queue mQueue;
  std::map<attempt_id, model::instant> mWaiting; ///< With their deadlines.
  std::set<attempt_id> mRunning;
  int mOffered = 0;
  model::instant mNow{ 1s };
};

RC_GTEST_PROP(admission_property, every_attempt_ends_once_within_the_slots, ())
{
  random_driver().Run();
}

} // namespace
} // namespace monsooncroft::policy
