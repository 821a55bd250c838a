/**
 * @file platform_main.cpp
 * The stand-in for the platform's key-value service and instance list.
 */
#include "standin/event_loop.h"
#include "standin/http_listener.h"
#include "standin/platform_service.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace monsooncroft::standin {
namespace {

nlohmann::json
LoadInstances(const std::string& aFile)
{
  if (aFile.empty()) {
    return nlohmann::json::array();
  }
  std::ifstream file(aFile);
  const nlohmann::json parsed = nlohmann::json::parse(file);
  return parsed.is_object() ? parsed.at("instances") : parsed;
}

int
RunPlatform(const std::string& aListen, const std::string& aInstances)
{
  const auto address = model::endpoint::Parse(aListen);
  if (!address) {
    std::cerr << "--listen: no address: " << aListen << '\n';
    return EXIT_FAILURE;
  }
  const auto loop = event_loop::Create();
  const auto queue = loop->NewQueue();
  platform_service service(*queue, LoadInstances(aInstances));
  const auto listener =
    http_listener::Create(queue, { .mAddress = *address }, service);
  listener->Open();
  service.KeepExpiring();
  loop->Run(1);
  return EXIT_SUCCESS;
}

} // namespace
} // namespace monsooncroft::standin

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-in for the platform's key-value service");
  std::string listen;
  std::string instances;
  app.add_option("--listen", listen, "Address, ip:port")->required();
  app.add_option("--instances", instances, "JSON file, the instance list");
  CLI11_PARSE(app, aCount, aArguments);
  try {
    return monsooncroft::standin::RunPlatform(listen, instances);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
