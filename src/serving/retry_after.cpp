/**
 * @file retry_after.cpp
 * Times after which requests may be sent again.
 */
#include "serving/retry_after_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsooncroft::serving {

std::optional<requested_pause>
ParseRetryAfter(std::string_view aValue, model::duration aMax)
{
  double seconds = 0;
  const char* const end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, seconds);
  if (parsed.ec == std::errc::result_out_of_range && aValue.front() != '-') {
    seconds = HUGE_VAL;
  } else if (parsed.ec != std::errc() || std::isinf(seconds)) {
    return std::nullopt;
  }
  if (parsed.ptr != end || std::isnan(seconds) || std::signbit(seconds)) {
    return std::nullopt;
  }
  const double maxSeconds = std::chrono::duration<double>(aMax).count();
  if (seconds > maxSeconds) {
    return requested_pause{ aMax, true };
  }
  return requested_pause{ std::chrono::ceil<model::duration>(
                            std::chrono::duration<double>(seconds)),
                          false };
}

model::duration
ReturnDelay(std::vector<model::duration> aShardDelays,
            std::size_t aRequiredShards)
{
  if (aShardDelays.empty() || aRequiredShards == 0) {
    return model::duration(0);
  }
  const std::size_t last = std::min(aRequiredShards, aShardDelays.size()) - 1;
  const auto position =
    aShardDelays.begin() + static_cast<std::ptrdiff_t>(last);
  std::nth_element(aShardDelays.begin(), position, aShardDelays.end());
  return *position;
}

} // namespace monsooncroft::serving
