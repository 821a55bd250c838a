/**
 * @file bounded_sink_base.h
 * A log sink that never waits.
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
 * Keeps lines up to a number of bytes and writes them as far as the reader
 * takes them. When it is full, lines below a warning are dropped first; what
 * was dropped is counted and said in a line of its own once there is room.
 */
class bounded_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  /**
   * @param aDescriptor Where lines go, such as 1 for standard output.
   * @param aMaxBytes Kept at most.
   */
  bounded_sink(int aDescriptor, std::size_t aMaxBytes);

  /** Writes what can be written without waiting. */
  void Drain();
  /** Lines dropped so far. */
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
  std::size_t mWritten = 0; ///< Of the first line.
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0; ///< Dropped lines that were reported.
};

} // namespace monsooncroft::ops

#endif
