/**
 * @file bounded_sink_test.cpp
 * Guards against a logging thread that blocks because the reader of the log
 * has stalled, and against torn or reordered lines.
 */
#include "ops/bounded_sink_base.h"
#include "ops/log_base.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>
#include <unistd.h>

namespace monsooncroft::ops {
namespace {

/** Reads a pipe until the line on dropped lines arrives. */
std::string
ReadAll(int aDescriptor, bounded_sink& aSink)
{
  std::string text;
  std::array<char, 65'536> buffer{};
  for (int round = 0; round < 200; ++round) {
    aSink.Drain();
    ::alarm(5); // An empty pipe would block the test.
    const ssize_t count = ::read(aDescriptor, buffer.data(), buffer.size());
    ::alarm(0);
    text.append(buffer.data(), static_cast<std::size_t>(count));
    if (text.find("log_lines_dropped") != std::string::npos) {
      break;
    }
  }
  return text;
}

TEST(BoundedSink, AReaderThatDoesNotReadHoldsNothingUp)
{
  std::array<int, 2> pipe{};
  ASSERT_EQ(::pipe(pipe.data()), 0);
  constexpr std::size_t kMaxBytes = 100'000;
  const auto sink = std::make_shared<bounded_sink>(pipe[1], kMaxBytes);
  const log flood("i", log_level::Info, sink);
  const auto start = std::chrono::steady_clock::now();
  for (int line = 0; line < 20'000; ++line) {
    flood.Write(
      log_level::Info, "flood", { { "line", static_cast<long>(line) } });
    sink->Drain();
  }
  flood.Write(log_level::Error, "important", {});
  // Far more than the lines need; a blocking sink would never return.
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(30));
  EXPECT_GT(sink->Dropped(), 10'000U);

  const std::string text = ReadAll(pipe[0], *sink);
  EXPECT_NE(text.find("\"event\":\"important\""), std::string::npos);
  EXPECT_NE(text.find("\"count\":" + std::to_string(sink->Dropped())),
            std::string::npos);
  EXPECT_LT(text.size(), kMaxBytes + 70'000); // The pipe buffers some more.
  ::close(pipe[0]);
  ::close(pipe[1]);
}

TEST(BoundedSink, LinesComeWholeAndInOrder)
{
  std::array<int, 2> pipe{};
  ASSERT_EQ(::pipe(pipe.data()), 0);
  const auto sink = std::make_shared<bounded_sink>(pipe[1], 1U << 20U);
  const log lines("i", log_level::Info, sink);
  for (int line = 0; line < 200; ++line) {
    lines.Write(
      log_level::Info, "line", { { "number", static_cast<long>(line) } });
  }
  sink->Drain();
  std::array<char, 65'536> buffer{};
  const ssize_t count = ::read(pipe[0], buffer.data(), buffer.size());
  const std::string text(buffer.data(), static_cast<std::size_t>(count));
  std::size_t at = 0;
  for (int line = 0; line < 200; ++line) {
    at = text.find("\"number\":" + std::to_string(line) + "}", at);
    ASSERT_NE(at, std::string::npos) << line;
  }
  EXPECT_EQ(sink->Dropped(), 0U);
  ::close(pipe[0]);
  ::close(pipe[1]);
}

} // namespace
} // namespace monsooncroft::ops
