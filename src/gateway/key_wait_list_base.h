/**
 * @file key_wait_list_base.h
 * Requests that wait for a configuration with their API key.
 */
#ifndef MONSOONCROFT_GATEWAY_KEY_WAIT_LIST_BASE_H
#define MONSOONCROFT_GATEWAY_KEY_WAIT_LIST_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/loop_timer_base.h"

#include <functional>
#include <vector>

namespace monsooncroft::gateway {

/** Holds requests for a limited time, and forgets those whose callers leave. */
class key_wait_list
{
public:
  /** Gets a request, and the end of its wait. Called by a timer, so that no
   * function of the configuration's reader is on the stack. */
  using resume = std::function<void(const exchange_ptr&, model::instant)>;

  key_wait_list(event_loop& aLoop, resume aResume);

  void Add(exchange_ptr aExchange, model::instant aUntil, model::instant aNow);
  /** Resumes all requests: another configuration is in force. */
  void ResumeAll();
  /** Ends the wait of requests that were added until then: there was no newer
   * configuration at that time. */
  void EndAddedUntil(model::instant aAddedUntil, model::instant aNow);
  std::size_t Size() const { return mEntries.size(); }

private:
  struct entry
  {
    exchange_ptr mExchange;
    model::instant mUntil;
    model::instant mAddedAt;
  };

  void StartTimer(model::instant aNow);
  void OnTimer();

  resume mResume;
  std::vector<entry> mEntries;
  bool mResumesAll = false;
  loop_timer mTimer;
};

} // namespace monsooncroft::gateway

#endif
