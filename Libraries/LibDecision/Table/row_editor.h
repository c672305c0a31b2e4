#ifndef LIBDECISION_TABLE_ROW_EDITOR_H_
#define LIBDECISION_TABLE_ROW_EDITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "LibDecision/Table/row_codec.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/store_call_id_generator.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Writes edits to the key-value store by compare-and-swap, and reads row
/// histories from it. Responds to each administration request exactly once.
class row_editor {
 public:
  /// Returns this node's copy of a row, or null.
  using local_row_finder =
      std::function<const table_row*(const service_name&, const class_name&)>;

  explicit row_editor(local_row_finder find)
      : find_local_row_(std::move(find)) {}

  void Begin(event_context& context, admin_call_id call, const edit_row& edit);
  void Begin(event_context& context,
             admin_call_id call,
             const read_history& history_request);

  /// Returns the newest version of the row in `answer`, if `answer` belongs to
  /// a pending request and contains a valid row.
  std::optional<table_row> OnStoreAnswered(event_context& context,
                                           const store_answered& answer);
  /// Retries the pending edit `key`.
  void OnTimer(event_context& context, std::uint64_t key);

 private:
  enum class stage : std::uint8_t { kRead, kWrite };

  struct pending_request {
    admin_call_id call;
    /// Unset for a read of the history.
    std::optional<edit_row> edit;
    stage current_stage = stage::kRead;
    int attempts = 0;
    /// A write of this edit had an unknown outcome and may have taken effect.
    bool may_be_written = false;
    std::optional<store_call_id> pending_call;
    std::string written_value;
  };
  using pending_requests = std::map<std::uint64_t, pending_request>;

  void AddRequest(event_context& context, pending_request request);
  void ReadRow(event_context& context, pending_request& request);
  void WriteRow(event_context& context,
                pending_request& request,
                const row_versions& current,
                store_revision revision);
  void OnReadResult(event_context& context,
                    std::uint64_t key,
                    const store_result& result);
  void OnWriteResult(event_context& context,
                     std::uint64_t key,
                     const store_result& result);
  void RetryLater(event_context& context, std::uint64_t key);
  void ApplyEdit(event_context& context,
                 std::uint64_t key,
                 const row_versions& current,
                 store_revision revision);
  void Finish(event_context& context, std::uint64_t key, admin_result result);
  row_versions WithNewerLocalRow(const edit_row& edit,
                                 row_versions stored) const;

  local_row_finder find_local_row_;
  store_call_id_generator call_ids_{store_caller::kRowEditor};
  pending_requests pending_;
  std::uint64_t last_request_key_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_EDITOR_H_
