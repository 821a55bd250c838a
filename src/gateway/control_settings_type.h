/**
 * @file control_settings_type.h
 * Periods of what instances do beside serving.
 */
#ifndef MONSOONCROFT_GATEWAY_CONTROL_SETTINGS_TYPE_H
#define MONSOONCROFT_GATEWAY_CONTROL_SETTINGS_TYPE_H

#include <chrono>

namespace monsooncroft::gateway {

/** How often the store is called, and by whom. */
struct control_settings
{
  /** The fleet's first reader watches the registrations, and reads them so
   * often besides, which shows that the store still answers. Well below the
   * time in which a draining leaf must get no more work. */
  std::chrono::milliseconds mDirectoryPeriod{ 900 };
  std::chrono::milliseconds mDirectoryWatchPause{ 400 }; ///< After each change.
  /** The next reader in rank takes over after so much longer. */
  std::chrono::milliseconds mDirectoryStagger{ 350 };
  std::size_t mMaxStaggers = 4; ///< Later ranks do not wait any longer.
  std::chrono::milliseconds mWatchWait{ 25'000 }; ///< Below the store's limit.
  /** Pauses between calls that fail. */
  std::chrono::milliseconds mMinRetryDelay{ 250 };
  std::chrono::milliseconds mMaxRetryDelay{ 1'000 };
  /** Unknown paths are refused for good only while the store, or a peer that
   * reaches it, was heard of so lately: the bound for a new configuration. */
  std::chrono::milliseconds mConfigStaleAfter{ 3'000 };

  bool operator==(const control_settings&) const = default;
};

} // namespace monsooncroft::gateway

#endif
