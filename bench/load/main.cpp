/**
 * @file main.cpp
 * bench_load: sends the load of a plan file and prints a report.
 */
#include "bench/load/load_run.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "bench_load: open-loop load on entry instances" };
  std::string path;
  app.add_option("plan", path, "Plan file (JSON)")->required();
  CLI11_PARSE(app, aCount, aArguments);
  try {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    std::cout << monsooncroft::bench::RunLoad(
                   monsooncroft::bench::ParsePlan(text.str()))
              << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
