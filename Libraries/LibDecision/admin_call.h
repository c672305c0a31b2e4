#ifndef LIBDECISION_ADMIN_CALL_H_
#define LIBDECISION_ADMIN_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/member_record.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Creates, changes or deletes one row. The write fails with `kConflict` if the
/// row's version is not `expected`.
struct edit_row {
  service_name service;
  class_name request_class;
  row_settings settings;
  /// The version that the author last read; 0 creates the row.
  row_version expected;
  change_id change;
  std::string author;
  bool is_deletion = false;
};

/// Requests the earlier versions of a row.
struct read_history {
  service_name service;
  class_name request_class;
};

/// Takes the local endpoint out of service, or puts it back in.
struct set_draining {
  bool is_draining = true;
};

/// Requests this node's copy of the table and the number of peers in sync with
/// it.
struct read_table {};

/// Requests every node that this one knows.
struct read_members {};

using admin_request = std::
    variant<edit_row, read_history, set_draining, read_table, read_members>;

enum class admin_status : std::uint8_t {
  kAccepted,  ///< Written to the key-value store.
  kConflict,  ///< The row has another version; `row` is the current one.
  kInvalid,   ///< Rejected; `reason` names the column and its range.
  kStoreUnavailable,  ///< Not written: the key-value store is unavailable.
  kUnknown,           ///< May have been written; retry with the same change id.
};

/// One accepted version of a row.
struct row_history_entry {
  table_row row;
  std::string author;
};

/// The answer to an administration request.
struct admin_result {
  admin_status status = admin_status::kAccepted;
  std::string reason;
  std::optional<table_row> row;
  std::vector<row_history_entry> history;
  std::vector<table_row> rows;
  std::vector<member_record> members;
  /// Peers whose heartbeats arrive at this node, and how many of them hold the
  /// same rows.
  std::uint32_t peers_heard = 0;
  std::uint32_t peers_in_sync = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMIN_CALL_H_
