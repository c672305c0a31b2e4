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

/// Reads the table from the key-value service: once when the node starts, and
/// for as long as this node is one of the few watchers, on every change.
class row_watch {
 public:
  /// Timer keys of this part, out of the way of those that count up.
  static constexpr std::uint64_t kListTimer = UINT64_MAX;
  static constexpr std::uint64_t kWatchTimer = UINT64_MAX - 1;

  void Start(event_context& context);
  void set_watcher(event_context& context, bool is_watcher);

  /// Returns the rows that the answer shows, newest version each. Writes back
  /// rows of `own` that the service has lost.
  std::vector<table_row> OnStoreAnswered(event_context& context,
                                         const store_answered& answer,
                                         const row_set& own);
  void OnTimer(event_context& context, std::uint64_t key);

  /// The whole table was read from the service at least once.
  bool is_listed() const { return is_listed_; }
  /// A read of the whole table has failed.
  bool has_failed() const { return failures_ > 0; }

 private:
  void List(event_context& context);
  void Watch(event_context& context);
  void OnListed(event_context& context, const store_result& result);
  void OnWatched(event_context& context, const store_result& result);
  void RestoreLostRows(event_context& context,
                       const store_result& listed,
                       const row_set& own);
  void ListLater(event_context& context, duration delay);

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
