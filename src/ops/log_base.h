/**
 * @file log_base.h
 * Structured logging: one JSON object per line.
 */
#ifndef MONSOONCROFT_OPS_LOG_BASE_H
#define MONSOONCROFT_OPS_LOG_BASE_H

#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace spdlog {
class logger;
namespace sinks {
class sink;
}
}

namespace monsooncroft::ops {

/** Severity of a line. */
enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
};

/** One field of a line; text is escaped. Must not hold bodies or secrets. */
struct log_field
{
  const char* mKey;                               ///< Field name.
  std::variant<std::string, long, double> mValue; ///< Its value.
};

/** Writes lines to a sink, by default standard error. Thread safe. */
class log
{
public:
  /**
   * @param aInstance Name of this instance, written in each line.
   * @param aMinLevel Lines below this level are dropped.
   */
  log(std::string aInstance, log_level aMinLevel);

  /** Writes to another sink, such as bounded_sink. */
  log(std::string aInstance,
      log_level aMinLevel,
      std::shared_ptr<spdlog::sinks::sink> aSink);

  /**
   * Writes a line.
   * @param aLevel Severity of the line.
   * @param aEvent Constant name of the event, such as "query_done".
   * @param aFields Details of the event.
   */
  void Write(log_level aLevel,
             const char* aEvent,
             std::initializer_list<log_field> aFields) const;

private:
  std::string mInstance;
  std::shared_ptr<spdlog::logger> mLogger;
};

} // namespace monsooncroft::ops

#endif
