/**
 * @file loop_timer.cpp
 * One-shot timer of the event loop.
 */
#include "gateway/loop_timer_base.h"

#include "gateway/event_loop_base.h"

#include <uv.h>

#include <algorithm>
#include <utility>

namespace monsooncroft::gateway {

loop_timer::loop_timer(event_loop& aLoop, std::function<void()> aOnFire)
  : mOnFire(std::move(aOnFire))
  , mTimer(new uv_timer_t())
{
  uv_timer_init(aLoop.UvLoop(), mTimer);
  mTimer->data = this;
}

loop_timer::~loop_timer()
{
  mTimer->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(mTimer), [](uv_handle_t* aHandle) {
    delete reinterpret_cast<uv_timer_t*>(aHandle);
  });
}

void
loop_timer::Start(model::duration aAfter)
{
  const auto wait = std::max<model::duration::rep>(0, aAfter.count());
  // libuv updates the loop's clock only once per iteration, so it may be
  // behind.
  uv_update_time(mTimer->loop);
  uv_timer_start(
    mTimer,
    [](uv_timer_t* aTimer) {
      if (auto* self = static_cast<loop_timer*>(aTimer->data)) {
        self->mOnFire();
      }
    },
    static_cast<std::uint64_t>((wait + 999) / 1000),
    0);
}

void
loop_timer::Stop()
{
  uv_timer_stop(mTimer);
}

} // namespace monsooncroft::gateway
