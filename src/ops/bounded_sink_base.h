/**
 * @file bounded_sink_base.h
 * Log sink that never blocks.
 */
#ifndef MONSOONCROFT_OPS_BOUNDED_SINK_BASE_H
#define MONSOONCROFT_OPS_BOUNDED_SINK_BASE_H

#include <cstdint>
#include <deque>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace monsooncroft::ops {

/**
 * Buffers log lines up to a limit in bytes and writes as much as the reader
 * accepts. A part of the buffer is reserved for warnings and errors, so lines
 * of lower levels are dropped first. Dropped lines are counted; the count is
 * logged in a line of its own once the buffer has been written.
 */
class bounded_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  /**
   * @param aDescriptor File descriptor to write to, such as 1 for standard
   * output.
   * @param aMaxBytes Capacity of the buffer.
   */
  bounded_sink(int aDescriptor, std::size_t aMaxBytes);

  /** Writes as many lines as possible without blocking. */
  void Drain();
  /** Returns the number of lines dropped so far. */
  std::uint64_t Dropped();

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override;

private:
  void Write();

  int mDescriptor;
  std::size_t mMaxBytes;
  std::deque<std::string> mLines;
  std::size_t mBytes = 0;
  std::size_t mWritten = 0; ///< Bytes of the first line that have been written.
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0; ///< Drops already logged.
};

} // namespace monsooncroft::ops

#endif
