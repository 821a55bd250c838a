/**
 * @file backend_main.cpp
 * The stand-in for backend servers: many leaves in one process.
 */
#include "standin/backend_control.h"
#include "standin/event_loop.h"
#include "standin/execution_log.h"
#include "standin/leaf_server.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace monsooncroft::standin {
namespace {

constexpr int kDefaultThreads = 2;

/** The command line. */
struct backend_options
{
  std::string mConfig;
  std::string mControl;
  int mThreads = kDefaultThreads;
};

int
RunBackend(const backend_options& aOptions)
{
  const auto address = model::endpoint::Parse(aOptions.mControl);
  if (!address) {
    std::cerr << "--control: no address: " << aOptions.mControl << '\n';
    return EXIT_FAILURE;
  }
  std::ifstream file(aOptions.mConfig);
  const backend_config config = ParseBackendConfig(nlohmann::json::parse(file));
  const auto loop = event_loop::Create();
  execution_log log;
  std::vector<std::unique_ptr<leaf_server>> leaves;
  for (const leaf_config& leaf : config.mLeaves) {
    const std::uint64_t seed = config.mSeed + leaves.size();
    leaves.push_back(
      std::make_unique<leaf_server>(leaf, loop->NewQueue(), log, seed));
    leaves.back()->Open();
  }
  backend_control control(leaves, log);
  const auto listener =
    http_listener::Create(loop->NewQueue(), { .mAddress = *address }, control);
  listener->Open();
  loop->Run(aOptions.mThreads);
  return EXIT_SUCCESS;
}

} // namespace
} // namespace monsooncroft::standin

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-in for backend servers");
  monsooncroft::standin::backend_options options;
  app.add_option("--config", options.mConfig, "JSON file, the leaves")
    ->required();
  app.add_option("--control", options.mControl, "Control address, ip:port")
    ->required();
  app.add_option("--threads", options.mThreads, "Threads");
  CLI11_PARSE(app, aCount, aArguments);
  try {
    return monsooncroft::standin::RunBackend(options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
