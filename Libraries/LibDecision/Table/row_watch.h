#ifndef LIBDECISION_TABLE_ROW_WATCH_H_
#define LIBDECISION_TABLE_ROW_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/Table/row_codec.h"
#include "LibDecision/Table/row_set.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/store_call_id_generator.h"

namespace auburnfold {

/// Reads the table from the key-value store: once when the node starts, and
/// on every change while this node is one of the few watchers.
class row_watch {
 public:
  /// Timer keys at the upper end of the range, because `row_editor` uses keys
  /// that count up from 1 with the same timer owner.
  static constexpr std::uint64_t kListTimer = UINT64_MAX;
  static constexpr std::uint64_t kWatchTimer = UINT64_MAX - 1;

  void Start(event_context& context);
  void set_watcher(event_context& context, bool is_watcher);

  /// Returns the newest version of each row in `answer`. Writes rows of
  /// `local_rows` back that the store has lost.
  std::vector<table_row> OnStoreAnswered(event_context& context,
                                         const store_answered& answer,
                                         const row_set& local_rows);
  void OnTimer(event_context& context, std::uint64_t key);

  /// Whether the whole table was read from the store at least once.
  bool is_listed() const { return is_listed_; }
  /// Whether the latest list or watch of the store failed.
  bool has_failed() const { return failures_ > 0; }

 private:
  void ListRows(event_context& context);
  void WatchRows(event_context& context);
  void OnListResult(event_context& context, const store_result& result);
  void OnWatchResult(event_context& context, const store_result& result);
  void RestoreLostRows(event_context& context,
                       const store_result& list_result,
                       const row_set& local_rows);
  void ScheduleListing(event_context& context, duration delay);

  store_call_id_generator call_ids_{store_caller::kRowWatch};
  std::optional<store_call_id> list_call_;
  std::optional<store_call_id> watch_call_;
  std::optional<store_revision> revision_;
  bool is_watcher_ = false;
  bool is_listed_ = false;
  std::uint32_t failures_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_WATCH_H_
