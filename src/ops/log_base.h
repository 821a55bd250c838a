/**
 * @file log_base.h
 * Structured logs: one JSON object a line.
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

/** How much a line matters. */
enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
};

/** One field of a line; text is escaped. Neither bodies nor secrets go here. */
struct log_field
{
  const char* mKey;                               ///< Field name.
  std::variant<std::string, long, double> mValue; ///< Its value.
};

/** Writes lines, to standard error if not told otherwise. Thread safe. */
class log
{
public:
  /**
   * @param aInstance Name of this instance, in each line.
   * @param aMinLevel Lines below this level are dropped.
   */
  log(std::string aInstance, log_level aMinLevel);

  /** Writes to another sink, such as bounded_sink. */
  log(std::string aInstance,
      log_level aMinLevel,
      std::shared_ptr<spdlog::sinks::sink> aSink);

  /**
   * Writes a line.
   * @param aLevel Its level.
   * @param aEvent What happened, a fixed word such as "query_done".
   * @param aFields What belongs to it.
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
