/**
 * @file process.cpp
 * Children by fork and exec.
 */
#include "support/process.h"

#include <cerrno>
#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace monsooncroft::test_support {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{ 5 };
constexpr int kExecFailed = 127;
constexpr int kOutputMode = 0644;

/** Runs in the child: only calls that are safe after a fork. */
[[noreturn]] void
Become(char* const* aArguments, const char* aOutput)
{
  // A test that is itself killed leaves no children behind.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (*aOutput != '\0') {
    const int file =
      ::open(aOutput, O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
  }
  ::execv(aArguments[0], aArguments);
  ::_exit(kExecFailed);
}

} // namespace

process
process::Start(const std::string& aPath,
               const std::vector<std::string>& aArguments,
               const std::string& aOutput)
{
  std::vector<std::string> texts{ aPath };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    Become(pointers.data(), aOutput.c_str());
  }
  if (pid < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  return process(pid);
}

process::process(pid_t aPid)
  : mPid(aPid)
{
}

process::process(process&& aOther) noexcept
  : mPid(std::exchange(aOther.mPid, 0))
{
}

process&
process::operator=(process&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    mPid = std::exchange(aOther.mPid, 0);
  }
  return *this;
}

process::~process()
{
  Kill();
}

void
process::Signal(int aSignal) const
{
  if (mPid > 0) {
    ::kill(mPid, aSignal);
  }
}

std::optional<process_end>
process::Wait(std::chrono::milliseconds aLongest)
{
  const auto until = std::chrono::steady_clock::now() + aLongest;
  while (mPid > 0) {
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = 0;
      return WIFSIGNALED(status) ? process_end{ 0, WTERMSIG(status) }
                                 : process_end{ WEXITSTATUS(status), 0 };
    }
    if (std::chrono::steady_clock::now() >= until) {
      break;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return std::nullopt;
}

void
process::Kill()
{
  if (mPid <= 0) {
    return;
  }
  ::kill(mPid, SIGKILL);
  ::waitpid(mPid, nullptr, 0);
  mPid = 0;
}

} // namespace monsooncroft::test_support
