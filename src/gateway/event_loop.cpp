/**
 * @file event_loop.cpp
 * The event loop of an entry instance.
 */
#include "gateway/event_loop_base.h"

#include <uv.h>

#include <ctime>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Shortest wait for events that counts as idle; above the time of a poll that
 * finds events ready. */
constexpr model::duration kMinIdleWait{ 100 };

} // namespace

event_loop::event_loop()
  : mLoop(new uv_loop_t())
  , mCheck(new uv_check_t())
  , mPrepare(new uv_prepare_t())
{
  uv_loop_init(mLoop);
  uv_check_init(mLoop, mCheck);
  mCheck->data = this;
  uv_check_start(mCheck, [](uv_check_t* aCheck) {
    static_cast<event_loop*>(aCheck->data)->RunDeferred();
  });
  uv_prepare_init(mLoop, mPrepare);
  mPrepare->data = this;
  uv_prepare_start(mPrepare, [](uv_prepare_t* aPrepare) {
    auto* self = static_cast<event_loop*>(aPrepare->data);
    self->RunDeferred();
    self->mWaitStart = Now();
  });
}

event_loop::~event_loop()
{
  uv_close(reinterpret_cast<uv_handle_t*>(mCheck), [](uv_handle_t* aHandle) {
    delete reinterpret_cast<uv_check_t*>(aHandle);
  });
  uv_close(reinterpret_cast<uv_handle_t*>(mPrepare), [](uv_handle_t* aHandle) {
    delete reinterpret_cast<uv_prepare_t*>(aHandle);
  });
  RunDeferred();
  uv_run(mLoop, UV_RUN_NOWAIT);
  // A loop with handles that are still open is leaked until the process ends.
  if (uv_loop_close(mLoop) == 0) {
    delete mLoop;
  }
}

void
event_loop::Run()
{
  uv_run(mLoop, UV_RUN_DEFAULT);
}

void
event_loop::Stop()
{
  uv_stop(mLoop);
}

model::instant
event_loop::Now()
{
  return model::instant(model::duration(uv_hrtime() / 1000));
}

model::duration
event_loop::BootTime()
{
  timespec boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot);
  return std::chrono::duration_cast<model::duration>(
    std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec));
}

void
event_loop::RecordEvent()
{
  if (mWaitEnd > mWaitStart) {
    return; // Not the first event of this iteration.
  }
  const model::instant previousWaitEnd = std::exchange(mWaitEnd, Now());
  // If the loop did not wait, the event arrived at an unknown time during the
  // last iteration; its middle is the estimate.
  mArrivedAt = mWaitEnd - mWaitStart > kMinIdleWait
                 ? mWaitEnd
                 : previousWaitEnd + (mWaitEnd - previousWaitEnd) / 2;
}

void
event_loop::Defer(std::function<void()> aTask)
{
  mDeferred.push_back(std::move(aTask));
}

void
event_loop::RunDeferred()
{
  while (!mDeferred.empty()) {
    const auto tasks = std::exchange(mDeferred, {});
    for (const auto& task : tasks) {
      task();
    }
  }
}

} // namespace monsooncroft::gateway
