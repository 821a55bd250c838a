/**
 * @file log.cpp
 * Writes JSON lines with spdlog.
 */
#include "ops/log_base.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace monsooncroft::ops {

namespace {

spdlog::level::level_enum
ToSpdlog(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return spdlog::level::debug;
    case log_level::Info:
      return spdlog::level::info;
    case log_level::Warning:
      return spdlog::level::warn;
    case log_level::Error:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

const char*
Name(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return "debug";
    case log_level::Info:
      return "info";
    case log_level::Warning:
      return "warning";
    case log_level::Error:
      return "error";
  }
  return "error";
}

} // namespace

log::log(std::string aInstance, log_level aMinLevel)
  : log(std::move(aInstance),
        aMinLevel,
        std::make_shared<spdlog::sinks::stderr_sink_mt>())
{
  mLogger->flush_on(spdlog::level::info);
}

log::log(std::string aInstance,
         log_level aMinLevel,
         std::shared_ptr<spdlog::sinks::sink> aSink)
  : mInstance(std::move(aInstance))
  , mLogger(std::make_shared<spdlog::logger>(mInstance, std::move(aSink)))
{
  mLogger->set_pattern("%v");
  mLogger->set_level(ToSpdlog(aMinLevel));
}

void
log::Write(log_level aLevel,
           const char* aEvent,
           std::initializer_list<log_field> aFields) const
{
  if (!mLogger->should_log(ToSpdlog(aLevel))) {
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  nlohmann::ordered_json line;
  line["time_ms"] = now.count();
  line["level"] = Name(aLevel);
  line["instance"] = mInstance;
  line["event"] = aEvent;
  for (const log_field& field : aFields) {
    std::visit([&](const auto& aValue) { line[field.mKey] = aValue; },
               field.mValue);
  }
  const auto text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  mLogger->log(ToSpdlog(aLevel), text);
}

} // namespace monsooncroft::ops
