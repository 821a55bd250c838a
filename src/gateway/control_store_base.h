/**
 * @file control_store_base.h
 * Where configuration and registrations come from.
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

/** Why a call to the store gave nothing. */
enum class store_error : std::uint8_t
{
  Unreachable, ///< No answer in time, or no connection.
  Refused,     ///< The store is busy or turns this instance away.
  Absent,      ///< There is no such thing yet.
  HistoryLost, ///< A watch cannot continue from its revision.
  Malformed,   ///< The answer cannot be read.
};

const char*
ToText(store_error aError);

/** The configuration as the store holds it. */
struct config_text
{
  std::uint64_t mRevision = 0; ///< Its last change.
  std::string mText;
};

/** What a watch has brought. */
struct config_change
{
  std::uint64_t mRevision = 0;      ///< To go on from.
  std::optional<config_text> mText; ///< Nothing if nothing changed.
};

template<class T>
using store_result = std::variant<T, store_error>;

/** Asynchronous calls; answers come on the loop's thread. */
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

  /** @param aMayBeOld Cheaper, but may be seconds old. */
  virtual void ReadDirectory(bool aMayBeOld,
                             callback<serving::directory_snapshot> aDone) = 0;
  /** Answers at the first changes after a revision, or after the wait. */
  virtual void WatchDirectory(std::uint64_t aAfter,
                              std::chrono::milliseconds aWait,
                              callback<serving::directory_delta> aDone) = 0;
  virtual void ReadConfig(bool aMayBeOld, callback<config_text> aDone) = 0;
  /** Answers at the first change after a revision, or after the wait. */
  virtual void WatchConfig(std::uint64_t aAfter,
                           std::chrono::milliseconds aWait,
                           callback<config_change> aDone) = 0;
  /** Reads a configuration's text; the error tells what is wrong with it. */
  virtual std::variant<serving::routing_config::content, std::string>
  DecodeConfig(const std::string& aText) const = 0;
};

} // namespace monsooncroft::gateway

#endif
