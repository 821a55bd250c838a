/**
 * @file bounded_sink.cpp
 * Log sink that never blocks.
 */
#include "ops/bounded_sink_base.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace monsooncroft::ops {

namespace {

/** A pipe that polls as writable accepts 4096 bytes without blocking (POSIX).
 */
constexpr std::size_t kPipeBytes = 4'096;
/** Fraction of the buffer reserved for warnings and errors. */
constexpr double kWarningReserve = 0.25;

} // namespace

bounded_sink::bounded_sink(int aDescriptor, std::size_t aMaxBytes)
  : mDescriptor(aDescriptor)
  , mMaxBytes(aMaxBytes)
{
}

void
bounded_sink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t formatted;
  base_sink<std::mutex>::formatter_->format(aMessage, formatted);
  const bool urgent = aMessage.level >= spdlog::level::warn;
  const auto limit =
    urgent ? mMaxBytes
           : static_cast<std::size_t>(static_cast<double>(mMaxBytes) *
                                      (1 - kWarningReserve));
  if (mBytes + formatted.size() > limit) {
    ++mDropped;
    return;
  }
  mLines.emplace_back(formatted.data(), formatted.size());
  mBytes += formatted.size();
}

void
bounded_sink::flush_()
{
  Write();
}

void
bounded_sink::Drain()
{
  const std::lock_guard<std::mutex> lock(base_sink<std::mutex>::mutex_);
  Write();
}

std::uint64_t
bounded_sink::Dropped()
{
  const std::lock_guard<std::mutex> lock(base_sink<std::mutex>::mutex_);
  return mDropped;
}

void
bounded_sink::Write()
{
  while (!mLines.empty()) {
    std::string chunk;
    std::size_t lines = 0;
    std::size_t skip = mWritten;
    while (lines < mLines.size() && chunk.size() < kPipeBytes) {
      chunk.append(mLines[lines], skip);
      skip = 0;
      ++lines;
    }
    chunk.resize(std::min(chunk.size(), kPipeBytes));
    pollfd ready{ mDescriptor, POLLOUT, 0 };
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t count = ::write(mDescriptor, chunk.data(), chunk.size());
    if (count <= 0) {
      return; // The reader has stalled; keep the lines for the next call.
    }
    mWritten += static_cast<std::size_t>(count);
    while (!mLines.empty() && mWritten >= mLines.front().size()) {
      mWritten -= mLines.front().size();
      mBytes -= mLines.front().size();
      mLines.pop_front();
    }
  }
  if (mReportedDropped < mDropped) {
    const std::string line =
      R"({"level":"warning","event":"log_lines_dropped","count":)" +
      std::to_string(mDropped - mReportedDropped) + "}\n";
    mReportedDropped = mDropped;
    mLines.push_back(line);
    mBytes += line.size();
  }
}

} // namespace monsooncroft::ops
