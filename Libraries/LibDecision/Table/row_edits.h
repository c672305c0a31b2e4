#ifndef LIBDECISION_TABLE_ROW_EDITS_H_
#define LIBDECISION_TABLE_ROW_EDITS_H_

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

/// Writes edits to the key-value service by compare-and-swap, and answers each
/// administration request once.
class row_edits {
 public:
  /// Finds this node's copy of a row, or null.
  using row_finder =
      std::function<const table_row*(const service_name&, const class_name&)>;

  explicit row_edits(row_finder find) : find_(std::move(find)) {}

  void Begin(event_context& context, admin_call_id call, const edit_row& edit);
  void Begin(event_context& context,
             admin_call_id call,
             const read_history& wanted);

  /// Returns the newest row that the answer shows, if it belongs to an edit.
  std::optional<table_row> OnStoreAnswered(event_context& context,
                                           const store_answered& answer);
  /// Tries the edit `key` again.
  void OnTimer(event_context& context, std::uint64_t key);

 private:
  enum class stage : std::uint8_t { kRead, kWrite };

  struct open_request {
    admin_call_id call;
    /// Unset if only the history was asked for.
    std::optional<edit_row> edit;
    stage at = stage::kRead;
    int tries = 0;
    /// A write of this edit may have taken effect.
    bool is_uncertain = false;
    std::optional<store_call_id> waits_for;
    std::string written_value;
  };
  using open_requests = std::map<std::uint64_t, open_request>;

  void Open(event_context& context, open_request request);
  void Read(event_context& context, open_request& request);
  void Write(event_context& context,
             open_request& request,
             const row_versions& current,
             store_revision revision);
  void OnRead(event_context& context,
              std::uint64_t key,
              const store_result& result);
  void OnWritten(event_context& context,
                 std::uint64_t key,
                 const store_result& result);
  void TryAgain(event_context& context, std::uint64_t key);
  void Decide(event_context& context,
              std::uint64_t key,
              const row_versions& current,
              store_revision revision);
  void Finish(event_context& context, std::uint64_t key, admin_result result);
  row_versions NewestOf(const edit_row& edit, row_versions stored) const;

  row_finder find_;
  store_call_id_generator call_ids_{store_caller::kRowEdits};
  open_requests open_;
  std::uint64_t opened_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_EDITS_H_
