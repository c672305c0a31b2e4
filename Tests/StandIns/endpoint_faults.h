#ifndef STANDINS_ENDPOINT_FAULTS_H_
#define STANDINS_ENDPOINT_FAULTS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace auburnfold {

/// Misbehaviour of a stand-in endpoint, switched at run time.
struct endpoint_faults {
  /// Every request is refused before any work.
  bool sheds = false;
  /// Leaving is announced; the process goes on.
  bool leaves = false;
  /// Nothing is announced to the node.
  bool is_unannounced = false;
  /// Factor on every service time.
  double slow_factor = 1.0;
  /// Reported in place of the true load and health.
  std::optional<double> fixed_load;
  std::optional<bool> fixed_healthy;
  /// So many of the next answers are cut off in the middle.
  std::uint32_t truncate_next = 0;
  /// So many of the next answers are lost after the work was done.
  std::uint32_t lose_next = 0;
  /// The process ends soon after it began to run a request with this body;
  /// empty for none.
  std::string crash_on_body;
  /// Share of the present connections that fall silent for good, once.
  double silence_share = 0.0;
};

/// Changes the members that `change` names. Throws std::runtime_error that
/// names a member which is unknown, or has a wrong type.
void ChangeFaults(endpoint_faults& faults, const boost::json::object& change);

}  // namespace auburnfold

#endif  // STANDINS_ENDPOINT_FAULTS_H_
