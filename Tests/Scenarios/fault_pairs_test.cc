#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "scenario.h"
#include "virtual_cluster.h"

namespace auburnfold::scenarios {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeedsPerPair = 200;

/// One thing that fails, as a change of the base scenario.
struct fault_kind {
  std::string name;
  std::vector<fault_line> lines;
  double demand_times = 0;
  bool has_hard_clients = false;
};

const std::vector<fault_kind>& Faults() {
  static const std::vector<fault_kind> kFaults{
      {"deep_slow", {{1s, "slow", "s3", 6}, {2s, "heal", "s3"}}},
      {"surge", {}, 3},
      {"hard_clients", {}, 0, true},
      {"store_down", {{1s, "store", "down"}, {2s, "store", "up"}}},
      {"store_answer_lost", {{1s, "store", "lose-answers", 2}}},
      {"pause", {{1s, "freeze", "node1"}, {1700ms, "wake", "node1"}}},
      {"silence", {{1s, "silence", "all", 0.5}}},
      {"silence_all", {{1200ms, "silence", "all", 1}}},
      {"region_cut", {{1s, "cut", "d1"}, {1800ms, "join", "d1"}}},
      {"machine_replaced", {{1300ms, "replace", "node2"}}},
      {"node_replaced", {{1300ms, "replace-node", "node1"}}},
      {"endpoint_replaced", {{1300ms, "replace-endpoint", "node1"}}},
      {"drain", {{500ms, "drain", "node2"}}},
      {"stop", {{1s, "stop", "node1"}}},
  };
  return kFaults;
}

void Add(const fault_kind& fault, scenario& plan) {
  plan.faults.insert(plan.faults.end(), fault.lines.begin(), fault.lines.end());
  plan.has_hard_clients = plan.has_hard_clients || fault.has_hard_clients;
  if (fault.demand_times > 0) {
    plan.demand.push_back({1s, fault.demand_times});
    plan.demand.push_back({2s, 0.6});
  }
}

std::vector<std::tuple<std::size_t, std::size_t>> Pairs() {
  std::vector<std::tuple<std::size_t, std::size_t>> pairs;
  for (std::size_t first = 0; first < Faults().size(); ++first) {
    for (std::size_t second = first + 1; second < Faults().size(); ++second) {
      pairs.emplace_back(first, second);
    }
  }
  return pairs;
}

std::string NameOfPair(const std::tuple<std::size_t, std::size_t>& pair) {
  return Faults()[std::get<0>(pair)].name + "_and_" +
         Faults()[std::get<1>(pair)].name;
}

class a_pair_of_faults
    : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>> {};

TEST_P(a_pair_of_faults, BreaksNoPromiseForAnySeed) {
  scenario plan = ReadScenario(SCENARIO_FOLDER "/fault_pairs/base.json");
  Add(Faults()[std::get<0>(GetParam())], plan);
  Add(Faults()[std::get<1>(GetParam())], plan);
  for (std::uint64_t seed = 1; seed <= kSeedsPerPair; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    auto figures = virtual_cluster(plan, seed).Run();
    for (const auto& [figure, bound] : plan.expect) {
      ASSERT_TRUE(figures.contains(figure)) << figure;
      EXPECT_LE(figures[figure], bound) << figure;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Every,
                         a_pair_of_faults,
                         testing::ValuesIn(Pairs()),
                         [](const auto& pair) {
                           return NameOfPair(pair.param);
                         });

class a_mechanism_taken_away : public testing::Test {
 protected:
  static constexpr std::uint64_t kSeeds = 20;

  // The sum of `figure` over some seeds of one pair of faults.
  static double Sum(const std::string& figure,
                    const std::string& first,
                    const std::string& second,
                    taken_away missing) {
    scenario plan = ReadScenario(SCENARIO_FOLDER "/fault_pairs/base.json");
    for (const fault_kind& fault : Faults()) {
      if (fault.name == first || fault.name == second) {
        Add(fault, plan);
      }
    }
    plan.missing = missing;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      sum += virtual_cluster(plan, seed).Run().at(figure);
    }
    RecordProperty(figure, std::to_string(sum));
    return sum;
  }
};

TEST_F(a_mechanism_taken_away, OfKeysRunsReservationsTwice) {
  EXPECT_GT(Sum("double_runs", "pause", "silence", taken_away::kKeys), 0);
}

TEST_F(a_mechanism_taken_away, OfTheNoticeBeforeBytesTellsFalselyNotRun) {
  EXPECT_GT(
      Sum("false_not_run", "surge", "machine_replaced", taken_away::kSent), 0);
}

TEST_F(a_mechanism_taken_away, OfTheLeavingReportSendsNewWorkToALeaver) {
  EXPECT_GT(
      Sum("drain_new_work_violations", "surge", "drain", taken_away::kLeaving),
      0);
}

}  // namespace
}  // namespace auburnfold::scenarios
