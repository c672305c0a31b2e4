#include <tclap/CmdLine.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <string>

#include "scenario.h"
#include "virtual_cluster.h"

namespace {

using auburnfold::scenarios::ReadScenario;
using auburnfold::scenarios::scenario;
using auburnfold::scenarios::virtual_cluster;

constexpr int kBadInput = 65;

void Run(const std::string& file, boost::json::object& all) {
  const scenario plan = ReadScenario(file);
  for (const std::uint64_t seed : plan.seeds) {
    boost::json::object figures;
    std::cout << plan.name << " seed " << seed << "\n";
    for (const auto& [name, value] : virtual_cluster(plan, seed).Run()) {
      std::cout << "  " << name << " " << value << "\n";
      figures[name] = value;
    }
    all[plan.name + "/" + std::to_string(seed)] = figures;
  }
}

}  // namespace

int main(int argc, char** argv) try {
  TCLAP::CmdLine line("Runs scenario files on virtual time.", ' ',
                      AUBURNFOLD_VERSION);
  TCLAP::ValueArg<std::string> json("j", "json", "file for the figures", false,
                                    "", "FILE", line);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "scenario files", true,
                                              "FILE", line);
  line.parse(argc, argv);
  boost::json::object all;
  for (const std::string& file : files.getValue()) {
    Run(file, all);
  }
  if (json.isSet()) {
    std::ofstream(json.getValue()) << boost::json::serialize(all) << "\n";
  }
  return 0;
} catch (const std::exception& error) {
  std::cerr << "scenario-runner: " << error.what() << "\n";
  return kBadInput;
}
