#ifndef TESTS_SCENARIOS_SCENARIO_H_
#define TESTS_SCENARIOS_SCENARIO_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibDecision/instant.h"
#include "LibDecision/table_row.h"

namespace auburnfold::scenarios {

/// One class of root requests.
struct traffic_class {
  std::string name;
  double share = 0;
  row_settings row;
  /// Services that a request crosses, entry first.
  std::vector<std::string> path;
  bool uses_key = false;
};

/// From `at` on, demand is `times` the capacity of the whole graph.
struct demand_step {
  duration at{};
  double times = 0;
};

/// One line of the scenario language: `<time> <verb> <target> [<argument>]`.
struct fault_line {
  duration at{};
  std::string verb;
  std::string target;
  double argument = 0;
};

/// A mechanism that the fakes take away, so that a check is seen to fail.
enum class taken_away : std::uint8_t {
  kNothing,
  kKeys,     ///< Keys get lost on the way to their home.
  kSent,     ///< Nodes are not told before bytes are written.
  kLeaving,  ///< Endpoints do not say that they leave.
  kSignals,  ///< Nodes do not read what answers say about endpoints.
};

/// A scripted experiment on virtual time.
struct scenario {
  std::string name;
  std::vector<std::uint64_t> seeds;
  int endpoints_per_service = 0;
  int domains = 0;
  int slots = 0;
  duration service_time{};
  bool holds_slot_while_waiting = false;
  duration deadline{};
  duration hop_delay{};
  duration client_delay{};
  int client_tries = 1;
  /// Clients wait this long before a resend; hard ones ignore `Retry-After`.
  duration client_backoff{};
  /// Clients send again through another node after this long without an
  /// answer; never if zero.
  duration client_patience{};
  bool has_hard_clients = false;
  duration length{};
  /// The trigger: goodput is taken inside, recovery from its end.
  duration trigger_begin{};
  duration trigger_end{};
  std::vector<std::string> services;
  std::vector<traffic_class> classes;
  std::vector<demand_step> demand;
  std::vector<fault_line> faults;
  /// Bounds by figure: `goodput`, `important_success` at least, all else at
  /// most.
  std::map<std::string, double> expect;
  taken_away missing = taken_away::kNothing;

  /// Root requests per second that the graph can finish without faults.
  double capacity() const;
};

/// Reads a scenario file and the deployment file that it names, from the
/// folder `deployments` beside its own folder. Throws std::runtime_error with
/// file, key and reason.
scenario ReadScenario(const std::string& path);

}  // namespace auburnfold::scenarios

#endif  // TESTS_SCENARIOS_SCENARIO_H_
