#ifndef LIBDECISION_QUARANTINE_QUARANTINE_H_
#define LIBDECISION_QUARANTINE_QUARANTINE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "LibDecision/Quarantine/crash_ledger.h"
#include "LibDecision/Quarantine/crash_publisher.h"
#include "LibDecision/Store/prefix_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Stops requests that crash the endpoints that run them. What nodes know of
/// crashes travels through the key-value store, and between nodes whose
/// checksums differ.
class quarantine {
 public:
  explicit quarantine(const node_options& options)
      : uses_store_(options.discovery == discovery_mode::kRegistry),
        publisher_(ledger_) {}

  void Start(const node_started& self);

  /// The local endpoint has crashed with these requests at work.
  void OnCrash(event_context& context, std::vector<request_digest> suspects);
  /// A run of the request ended with an answer that is no failure.
  void OnAnswered(event_context& context, request_digest digest);
  /// A request in quarantine was refused.
  void OnRefused(event_context& context, request_digest digest);
  crash_verdict VerdictOn(request_digest digest) const {
    return ledger_.VerdictOn(digest);
  }

  /// Handles a watch or listing of the registry.
  void OnStoreEntries(event_context& context, const prefix_update& update);
  void OnStoreEraChanged() { publisher_.OnStoreEraChanged(); }
  void OnStoreAnswered(event_context& context, const store_answered& answer) {
    publisher_.OnStoreAnswered(context, answer);
  }
  void OnTimer(event_context& context, timer_owner owner);

  /// 0 if this node knows of no crash.
  std::uint64_t checksum() const { return ledger_.checksum(); }
  /// The node at `peer` has this checksum. If it still differs after a while,
  /// requests the view of that node.
  void OnPeerChecksum(event_context& context,
                      std::uint64_t checksum,
                      const node_address& peer);
  std::vector<crash_record> RecordsForView(instant now) const {
    return ledger_.RecordsForView(now);
  }
  void OnPeerView(event_context& context,
                  const std::vector<crash_record>& records);

 private:
  struct differing_peer {
    std::uint64_t checksum = 0;
    node_address peer;
  };

  /// Merges `record`, and logs the requests that it brings into quarantine.
  bool Add(event_context& context, const crash_record& record);
  void LogChanges(event_context& context,
                  const std::set<request_digest>& before);
  void ScheduleExpiry(event_context& context);
  void PublishSoon(event_context& context, crash_id crash);
  void OnRemoved(event_context& context, crash_id crash);
  void OnUnreadable(event_context& context,
                    crash_id crash,
                    store_revision revision);
  /// The store does not hold the record of `crash`: writes it, or forgets it if
  /// it ends soon.
  void Restore(event_context& context, crash_id crash);

  bool uses_store_;
  node_id node_;
  incarnation run_;
  std::uint64_t crash_count_ = 0;
  crash_ledger ledger_;
  crash_publisher publisher_;
  std::optional<differing_peer> differing_peer_;
  /// Grows while views bring nothing new.
  std::uint32_t useless_views_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUARANTINE_QUARANTINE_H_
