/**
 * @file process.h
 * A child process that does not outlive its test.
 */
#ifndef MONSOONCROFT_TEST_SUPPORT_PROCESS_H
#define MONSOONCROFT_TEST_SUPPORT_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace monsooncroft::test_support {

/** How a process ended. */
struct process_end
{
  int mExitCode = 0; ///< If mSignal is 0.
  int mSignal = 0;   ///< The signal that ended it.

  bool operator==(const process_end&) const = default;
};

/** A running child; killed, if need be, when this goes. */
class process
{
public:
  /**
   * Starts a program.
   * @param aPath The program.
   * @param aArguments Its arguments, without its name.
   * @param aOutput File that takes its output; empty: the test's own.
   * @throws std::system_error if it cannot be started.
   */
  static process Start(const std::string& aPath,
                       const std::vector<std::string>& aArguments,
                       const std::string& aOutput = {});

  process(process&& aOther) noexcept;
  process& operator=(process&& aOther) noexcept;
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  ~process();

  pid_t Pid() const { return mPid; } ///< Its id; 0 once it has ended.

  /** Sends it a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT. */
  void Signal(int aSignal) const;

  /** Waits for its end. @return Nothing if it still runs after that time. */
  std::optional<process_end> Wait(std::chrono::milliseconds aLongest);

  void Kill(); ///< Ends it at once and waits for the end.

private:
  explicit process(pid_t aPid);

  pid_t mPid = 0;
};

} // namespace monsooncroft::test_support

#endif
