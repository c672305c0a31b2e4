#ifndef LIBDECISION_QUARANTINE_CRASH_PUBLISHER_H_
#define LIBDECISION_QUARANTINE_CRASH_PUBLISHER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "LibDecision/Quarantine/crash_ledger.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/store_call_id_generator.h"

namespace auburnfold {

/// Writes crash records to the key-value store, each under a lease that ends
/// with the record's lifetime. At most one call is in flight.
class crash_publisher {
 public:
  explicit crash_publisher(crash_ledger& ledger) : ledger_(ledger) {}

  /// Writes the record of `crash` after `delay`, unless another node has done
  /// so by then.
  void Publish(event_context& context, crash_id crash, duration delay);
  /// The store holds `stored` at `revision`.
  void OnStored(instant now,
                const crash_record& stored,
                store_revision revision);
  /// The store holds something else under the key of `crash`.
  void OnUnreadable(crash_id crash, store_revision revision) {
    revisions_[crash] = revision;
  }
  /// The store holds no record of `crash`.
  void OnMissing(crash_id crash) { revisions_.erase(crash); }
  /// Nothing that was read or granted before means anything to the store.
  void OnStoreEraChanged() { revisions_.clear(); }
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  void OnTimer(event_context& context) { StartNextCall(context); }

 private:
  struct pending_write {
    crash_id crash;
    store_call_id call;
    /// Unset until it is granted.
    std::optional<store_lease> lease;
    crash_record written;
    /// The revision that the record must have for the write; 0 if it is absent.
    store_revision expected;
  };

  void StartNextCall(event_context& context);
  void Write(event_context& context);
  void Send(event_context& context, store_request request);
  void OnWritten(event_context& context, const store_result& result);
  void RetryLater(event_context& context, crash_id crash);

  crash_ledger& ledger_;
  store_call_id_generator call_ids_{store_caller::kCrashRecords};
  /// When each record that waits is due.
  std::map<crash_id, instant> waiting_;
  std::map<crash_id, store_revision> revisions_;
  std::optional<pending_write> pending_;
  instant not_before_{};
  std::uint32_t failures_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUARANTINE_CRASH_PUBLISHER_H_
