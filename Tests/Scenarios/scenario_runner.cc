#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "scenario.h"
#include "virtual_cluster.h"

namespace {

using auburnfold::limit_mode;
using auburnfold::node_options;
using auburnfold::retry_mode;
using auburnfold::scenarios::ReadScenario;
using auburnfold::scenarios::scenario;
using auburnfold::scenarios::virtual_cluster;

constexpr int kBadInput = 65;

struct named_policy {
  std::string name;
  /// Begins the keys of its figures.
  std::string prefix;
  node_options options;
};

// Ours, and the baselines that it is measured against.
const std::vector<named_policy>& Policies() {
  static const std::vector<named_policy> kPolicies{
      {"ours", "", {}},
      {"static-limit",
       "baseline_static_limit_",
       {.limit = limit_mode::kFixed,
        .retries = retry_mode::kThreeAttempts,
        .refuses_early = false}},
      {"no-control",
       "baseline_no_control_",
       {.limit = limit_mode::kUnlimited,
        .retries = retry_mode::kThreeAttempts,
        .refuses_early = false}},
  };
  return kPolicies;
}

void Run(const std::string& file,
         const named_policy& policy,
         boost::json::object& all) {
  const scenario plan = ReadScenario(file);
  for (const std::uint64_t seed : plan.seeds) {
    boost::json::object figures;
    std::cout << policy.prefix << plan.name << " seed " << seed << "\n";
    for (const auto& [name, value] :
         virtual_cluster(plan, seed, policy.options).Run()) {
      std::cout << "  " << name << " " << value << "\n";
      figures[name] = value;
    }
    all[policy.prefix + plan.name + "/" + std::to_string(seed)] = figures;
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
  std::vector<std::string> names;
  for (const named_policy& policy : Policies()) {
    names.push_back(policy.name);
  }
  TCLAP::ValuesConstraint<std::string> known(names);
  TCLAP::MultiArg<std::string> chosen(
      "p", "policy", "policy to run with; ours if absent", false, &known, line);
  line.parse(argc, argv);
  boost::json::object all;
  const std::vector<std::string>& wanted = chosen.getValue();
  for (const named_policy& policy : Policies()) {
    const bool is_wanted = wanted.empty()
                               ? policy.prefix.empty()
                               : std::find(wanted.begin(), wanted.end(),
                                           policy.name) != wanted.end();
    for (const std::string& file : files.getValue()) {
      if (is_wanted) {
        Run(file, policy, all);
      }
    }
  }
  if (json.isSet()) {
    std::ofstream(json.getValue()) << boost::json::serialize(all) << "\n";
  }
  return 0;
} catch (const std::exception& error) {
  std::cerr << "scenario-runner: " << error.what() << "\n";
  return kBadInput;
}
