/**
 * @file main.cpp
 * monsooncroftd: one entry instance.
 */
#include "config/settings_base.h"
#include "config/settings_doc_func.h"
#include "entry/daemon_base.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace monsooncroft;

constexpr int kExitOk = 0;
constexpr int kExitCut = 1;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
PrintNested(const std::exception& aError)
{
  std::cerr << aError.what() << "\n";
  try {
    std::rethrow_if_nested(aError);
  } catch (const std::exception& inner) {
    PrintNested(inner);
  }
}

/** Signals that stop the instance; blocked before any thread starts. */
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int
RunUntilStopped(const config::settings& aSettings)
{
  const sigset_t signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
  const auto running = entry::daemon::Start(aSettings);
  int received = 0;
  sigwait(&signals, &received);
  // A second signal ends the wait for what is in flight.
  std::thread([&running, signals] {
    int again = 0;
    sigwait(&signals, &again);
    running->Hurry();
  }).detach();
  const bool quiet = running->Stop();
  std::_Exit(quiet ? kExitOk : kExitCut);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "monsooncroftd: an entry instance of the query tier" };
  std::string path;
  bool check = false;
  app.add_option("settings", path, "Settings file (JSON)")->required();
  app.add_flag("--check", check, "Only check the settings");
  app.footer(config::SettingsHelp());
  CLI11_PARSE(app, aCount, aArguments);
  const auto settings = config::settings::Parse(ReadFile(path));
  if (!settings) {
    for (const config::config_error& error : settings.error()) {
      std::cerr << config::ToString(error) << "\n";
    }
    return kExitBadSettings;
  }
  if (check) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  try {
    return RunUntilStopped(settings.value());
  } catch (const std::exception& error) {
    PrintNested(error);
    return kExitCannotStart;
  }
}
