/**
 * @file unknown_key_policy_base.h
 * Whether a request with an unknown API key waits for a newer configuration.
 */
#ifndef MONSOONCROFT_SERVING_UNKNOWN_KEY_POLICY_BASE_H
#define MONSOONCROFT_SERVING_UNKNOWN_KEY_POLICY_BASE_H

#include "model/time_type.h"
#include "serving/workspace_keys_base.h"

#include <optional>
#include <unordered_map>

namespace monsooncroft::serving {

/**
 * Callers use a new key as soon as the store has acknowledged it, before each
 * instance has the configuration with it; others send a withdrawn key again and
 * again. The first wait for a moment, during which the store is asked for the
 * newest configuration; the second are refused at once, and cause few reads of
 * the store.
 */
class unknown_key_policy
{
public:
  struct decision
  {
    /** Until when the request waits; now: it does not. */
    model::instant mWaitsUntil;
    /** Whether the newest configuration is to be read from the store. */
    bool mReads = false;

    bool operator==(const decision&) const = default;
  };

  /**
   * Decides on a request whose key the configuration in force does not contain.
   * @param aRemaining Time that the caller still waits.
   * @param aWaiting Requests that wait already.
   */
  decision Decide(const workspace_keys::digest& aKey,
                  model::duration aRemaining,
                  std::size_t aWaiting,
                  model::instant aNow) const;
  void OnReadStarted(model::instant aNow) { mReadAt = aNow; }
  /** The configuration in force was the newest one at that time. */
  void OnConfirmed(model::instant aAt) { mConfirmedAt = aAt; }
  /** A request was refused because of its key. */
  void OnRefused(const workspace_keys::digest& aKey, model::instant aNow);
  /** Another configuration is in force. */
  void OnConfig() { mRefused.clear(); }

private:
  std::optional<model::instant> mReadAt;
  std::optional<model::instant> mConfirmedAt;
  /** Keys that a configuration confirmed as the newest did not contain, and
   * when it was the newest. */
  std::unordered_map<workspace_keys::digest,
                     model::instant,
                     workspace_keys::digest_hash>
    mRefused;
};

} // namespace monsooncroft::serving

#endif
