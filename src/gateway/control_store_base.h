/**
 * @file control_store_base.h
 * Interface to the store of configuration and leaf registrations.
 */
#ifndef MONSOONCROFT_GATEWAY_CONTROL_STORE_BASE_H
#define MONSOONCROFT_GATEWAY_CONTROL_STORE_BASE_H

#include "serving/leaf_registration_type.h"
#include "serving/routing_config_base.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace monsooncroft::gateway {

/** Why a call to the store failed. */
enum class store_error : std::uint8_t
{
  Unreachable, ///< No response in time, or no connection.
  Refused,     ///< The store is overloaded or rejects this instance.
  Absent,      ///< The requested item does not exist yet.
  /** The store no longer has the revision that a watch continues from, or has
   * been restored from an older copy since. */
  HistoryLost,
  Malformed, ///< The response cannot be decoded.
  Cancelled, ///< This instance has ended the call.
};

const char*
ToText(store_error aError);

/** The configuration as stored, not decoded. */
struct config_text
{
  model::store_revision mRevision; ///< Of its last change.
  std::string mText;
  /** Of the whole store at a fresh read; otherwise 0. */
  model::store_revision mStoreRevision{};
};

/** Result of a configuration watch. */
struct config_change
{
  model::store_revision mRevision;  ///< For the next watch.
  std::optional<config_text> mText; ///< Empty if nothing changed.
};

template<class T>
using store_result = std::variant<T, store_error>;

/** Asynchronous calls; callbacks run on the event loop's thread. */
class control_store
{
public:
  control_store() = default;
  virtual ~control_store() = default;
  control_store(const control_store&) = delete;
  control_store& operator=(const control_store&) = delete;
  control_store(control_store&&) = delete;
  control_store& operator=(control_store&&) = delete;

  template<class T>
  using callback = std::function<void(store_result<T>)>;

  /** @param aMayBeStale Allows a cheaper read that may be seconds old. */
  virtual void ReadDirectory(bool aMayBeStale,
                             callback<serving::directory_snapshot> aDone) = 0;
  /** Completes on the first changes after a revision, or after the wait. */
  virtual void WatchDirectory(model::store_revision aAfter,
                              std::chrono::milliseconds aWait,
                              callback<serving::directory_delta> aDone) = 0;
  virtual void ReadConfig(bool aMayBeStale, callback<config_text> aDone) = 0;
  /** Completes on the first change after a revision, or after the wait. */
  virtual void WatchConfig(model::store_revision aAfter,
                           std::chrono::milliseconds aWait,
                           callback<config_change> aDone) = 0;
  // End the pending watch, which completes with Cancelled.
  virtual void EndDirectoryWatch() = 0;
  virtual void EndConfigWatch() = 0;
  /** Ends pending watches that continue from a revision of an earlier era: they
   * complete with HistoryLost, since the store may never answer them. */
  virtual void EndWatchesBefore(std::uint64_t aEra) = 0;
  /** Decodes a configuration; returns an error message if it is invalid. */
  virtual std::variant<serving::routing_config::content, std::string>
  DecodeConfig(const std::string& aText) const = 0;
  /** Text of the same configuration for other instances: API keys are replaced
   * by workspace_keys::SharedDigestOf(). */
  virtual std::string HideKeys(const std::string& aText) const { return aText; }
};

} // namespace monsooncroft::gateway

#endif
