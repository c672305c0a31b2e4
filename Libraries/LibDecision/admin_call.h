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

/// Writes one row. A racing edit is found by `expected`.
struct edit_row {
  service_name service;
  class_name request_class;
  row_settings settings;
  /// The version that the author saw; 0 creates the row.
  row_version expected;
  change_id change;
  std::string author;
  bool is_deletion = false;
};

/// Asks for a row's earlier versions.
struct read_history {
  service_name service;
  class_name request_class;
};

/// Takes the endpoint beside this node out of service, or back in.
struct set_draining {
  bool is_draining = true;
};

/// Asks for this node's copy of the table, and how far its peers have it.
struct read_table {};

/// Asks for every node that this one knows.
struct read_members {};

using admin_request = std::
    variant<edit_row, read_history, set_draining, read_table, read_members>;

enum class admin_status : std::uint8_t {
  kAccepted,          ///< Written to the key-value service.
  kConflict,          ///< The row changed meanwhile; `row` is the current one.
  kInvalid,           ///< Refused; `reason` names column and range.
  kStoreUnavailable,  ///< Not written.
  kUnknown,           ///< May have been written; ask again by change id.
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
  /// Peers whose heartbeats arrive here, and those of them that hold the same
  /// rows as this node.
  std::uint32_t peers_heard = 0;
  std::uint32_t peers_in_sync = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMIN_CALL_H_
