#ifndef STANDINS_STORE_FAULTS_H_
#define STANDINS_STORE_FAULTS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace auburnfold {

/// What callers meet instead of the service.
enum class store_outage : std::uint8_t {
  kNone,
  kCloses,  ///< Connections are closed without an answer.
  kHangs,   ///< Requests are never answered.
};

/// Misbehaviour of the stand-in store, switched at run time.
struct store_faults {
  store_outage outage = store_outage::kNone;
  std::uint32_t delay_ms = 0;
  /// So many of the next writes take effect without an answer.
  std::uint32_t lose_answers = 0;
  /// Snapshots to save or to restore, once.
  std::string save_snapshot;
  std::string restore_snapshot;
};

/// Changes the members that `change` names. Throws std::runtime_error that
/// names a member which is unknown, or has a wrong type or value.
void ChangeFaults(store_faults& faults, const boost::json::object& change);

}  // namespace auburnfold

#endif  // STANDINS_STORE_FAULTS_H_
