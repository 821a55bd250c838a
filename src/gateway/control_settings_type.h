/**
 * @file control_settings_type.h
 * Periods of the control plane's background work.
 */
#ifndef MONSOONCROFT_GATEWAY_CONTROL_SETTINGS_TYPE_H
#define MONSOONCROFT_GATEWAY_CONTROL_SETTINGS_TYPE_H

#include <algorithm>
#include <chrono>

namespace monsooncroft::gateway {

/** How often each instance calls the store. */
struct control_settings
{
  /** Period of reads of the registrations by the instance of rank 0, which also
   * watches them; a read shows that the store still responds. Well below the
   * time in which a draining leaf must get no more work. */
  std::chrono::milliseconds mDirectoryPeriod{ 900 };
  /** Period of fresh reads of the configuration by the instance of rank 0. They
   * show what is hidden by a watch that gets no response, or by reads that are
   * old; below the times in which a change must take effect. */
  std::chrono::milliseconds mConfirmationPeriod{ 2'000 };
  /** Between a change and the next watch. */
  std::chrono::milliseconds mDirectoryWatchPause{ 400 };
  /** Added to the period per rank, so that the next instance takes over. */
  std::chrono::milliseconds mDirectoryStagger{ 350 };
  /** Limit of the rank in that sum. An instance that misses one message of the
   * reader gets the next one before its own turn; if all readers before it are
   * lost, its read is well within the time of a drain. */
  std::size_t mMaxStaggers = 3;
  /** Added to that sum per rank, for a message of the first one to read to
   * arrive in between: after an outage, the others need not read. */
  std::chrono::milliseconds mRankSpread{ 10 };
  std::size_t mMaxSpreadRanks = 100; ///< Higher ranks begin at 0 again.
  /** Of a watch call; below the store's limit. */
  std::chrono::milliseconds mWatchWait{ 25'000 };
  /** Delays before retrying a failed call. */
  std::chrono::milliseconds mMinRetryDelay{ 250 };
  std::chrono::milliseconds mMaxRetryDelay{ 1'000 };
  /** An unknown path is refused with 404 only if the store, or a peer that
   * reaches it, responded within this time, in which a new configuration must
   * be applied. */
  std::chrono::milliseconds mConfigStaleAfter{ 3'000 };

  /** Time after the last complete read at which the instance of a rank reads
   * the registrations. */
  std::chrono::milliseconds DirectoryReadDelay(std::size_t aRank) const
  {
    return mDirectoryPeriod +
           static_cast<int>(std::min(aRank, mMaxStaggers)) * mDirectoryStagger +
           static_cast<int>(aRank % mMaxSpreadRanks) * mRankSpread;
  }

  bool operator==(const control_settings&) const = default;
};

} // namespace monsooncroft::gateway

#endif
