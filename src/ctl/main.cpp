/**
 * @file main.cpp
 * monsooncroftctl: the operators' command-line tool.
 */
#include "ctl/command_context_base.h"
#include "ctl/command_func.h"
#include "ctl/command_line_func.h"
#include "ctl/http_instance_client_base.h"
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "store/platform_client_base.h"

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace monsooncroft;

constexpr std::size_t kIdleConnections = 4;
/** Writes and reads per second. Operators rarely run commands, so the limits
 * only have to allow bursts. */
constexpr store::rate_share kStoreRates{ 50, 200 };

model::instant
Now()
{
  return std::chrono::time_point_cast<model::duration>(
    std::chrono::steady_clock::now());
}

model::wall_instant
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

/** Returns 96 random bits as hexadecimal digits: ids never collide in practice.
 */
std::string
NewId()
{
  constexpr int kWords = 3;
  constexpr std::size_t kDigits = 8;
  std::random_device random;
  std::string out;
  for (int i = 0; i < kWords; ++i) {
    std::string digits;
    for (std::size_t j = 0; j < kDigits; ++j) {
      constexpr unsigned kDigitMask = 0xF;
      digits += "0123456789abcdef"[random() & kDigitMask];
    }
    out += digits;
  }
  return out;
}

ctl::exit_code
Run(const ctl::command_options& aOptions)
{
  const auto connector = net::http_connector::Create(
    1, [](const model::endpoint& aPeer, const char* aDefect) {
      std::cerr << "malformed answer of " << aPeer.ToString() << ": " << aDefect
                << "\n";
    });
  net::http_pool pool(*connector, kIdleConnections);
  ctl::http_instance_client instances(pool);
  std::unique_ptr<store::platform_client> store;
  if (!aOptions.mPlatform.empty()) {
    store::platform_options options;
    options.mAddresses = aOptions.mPlatform;
    options.mShare = kStoreRates;
    store = std::make_unique<store::platform_client>(pool, options, Now);
  }
  ctl::command_context context;
  context.mOptions = aOptions;
  context.mStore = store.get();
  context.mInstanceList = store.get();
  context.mInstanceClient = &instances;
  context.mOut = &std::cout;
  context.mErr = &std::cerr;
  context.mNow = Now;
  context.mWallNow = WallNow;
  context.mSleep = [](model::duration aTime) {
    std::this_thread::sleep_for(aTime);
  };
  context.mNewId = NewId;
  const ctl::exit_code code = ctl::RunCommand(context);
  connector->Stop();
  return code;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto parsed = ctl::ParseCommandLine(aCount, aArguments);
  if (const auto* code = std::get_if<ctl::exit_code>(&parsed)) {
    return static_cast<int>(*code);
  }
  try {
    return static_cast<int>(Run(std::get<ctl::command_options>(parsed)));
  } catch (const std::exception& error) {
    // The point of failure is unknown: a change or a request may be in
    // progress.
    std::cerr << error.what() << "\n";
    return static_cast<int>(ctl::exit_code::Unknown);
  }
}
