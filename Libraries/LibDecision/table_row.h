#ifndef LIBDECISION_TABLE_ROW_H_
#define LIBDECISION_TABLE_ROW_H_

#include <cstdint>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The operators' settings for one service and request class.
struct row_settings {
  /// Weight among classes of equal priority; 1 to 1000.
  std::uint32_t weight = 100;
  /// 0 (refused first) to 7 (refused last).
  std::uint8_t priority = 3;
  /// Maximum number of requests that run at one endpoint at once; 0 lets the
  /// node determine it.
  std::uint32_t concurrency_limit = 0;
  /// Maximum number of retries of one root request in its whole call tree; 0 to
  /// 16.
  std::uint16_t retry_allowance = 2;
  /// Maximum time from a call's arrival to its deadline; 1 ms to 10 min. A
  /// later deadline is shortened to it.
  duration longest_deadline = std::chrono::seconds(10);
  /// Maximum time in the node's queue; 0 to 10 s.
  duration queue_limit = std::chrono::milliseconds(200);
  /// Requests may safely be executed more than once.
  bool is_idempotent = false;

  friend bool operator==(const row_settings&, const row_settings&) = default;
};

/// One row of the table, as accepted by the key-value store.
struct table_row {
  service_name service;
  class_name request_class;
  row_version version;
  /// The change that made this version.
  change_id change;
  /// A deleted row is kept as a tombstone, so that an outdated copy cannot
  /// restore it.
  bool is_deleted = false;
  row_settings settings;

  friend bool operator==(const table_row&, const table_row&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_H_
