#ifndef LIBDECISION_REGISTRY_REGISTRATION_H_
#define LIBDECISION_REGISTRY_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/member_record.h"
#include "LibDecision/store_call_id_generator.h"

namespace auburnfold {

/// Maintains this node's record in the registry under a lease, which it renews.
/// At most one call to the key-value store is in flight, except that `Withdraw`
/// does not wait for it.
class registration {
 public:
  /// Publishes `record` to the other nodes.
  void Publish(event_context& context, const member_record& record);
  /// A watch or listing showed `value` under this node's key.
  void OnValueSeen(event_context& context,
                   const std::string& value,
                   store_revision revision);
  /// A watch or listing showed that this node's key is absent.
  void OnKeyMissing(event_context& context);
  /// Ends the lease, so that the record is removed at once. Makes no more calls
  /// until another record is published.
  void Withdraw(event_context& context);

  /// Whether the registry holds the record that was published last.
  bool is_stored() const {
    return !desired_value_.empty() && stored_value_ == desired_value_;
  }

  void OnStoreAnswered(event_context& context, const store_answered& answer);
  /// The store has lost writes, maybe the lease and the latest record: grants a
  /// new lease and writes the record again.
  void OnStoreEraChanged(event_context& context);
  /// The store is available again: makes a call that waits for its retry.
  void RetryNow(event_context& context) {
    if (failures_ > 0) {
      StartNextCall(context);
    }
  }
  /// A renewal or a retry is due.
  void OnTimer(event_context& context);

 private:
  enum class stage : std::uint8_t { kIdle, kGranting, kWriting, kRenewing };

  /// Starts the next necessary call, unless one is in flight.
  void StartNextCall(event_context& context);
  void SendRequest(event_context& context, stage next, store_request request);
  void OnGranted(event_context& context, const store_result& result);
  void OnWritten(event_context& context, const store_result& result);
  void OnRenewed(event_context& context, const store_result& result);
  void RetryLater(event_context& context);

  store_call_id_generator call_ids_{store_caller::kRegistration};
  stage stage_ = stage::kIdle;
  std::optional<store_call_id> pending_call_;
  std::optional<store_lease> lease_;
  duration time_to_live_{};
  instant renew_at_{};
  node_id node_;
  /// The value to publish, and the value that the registry is known to hold;
  /// empty if there is none.
  std::string desired_value_;
  std::string stored_value_;
  /// The value that the call in flight writes.
  std::string pending_value_;
  /// Revision of this node's key; 0 if it is absent.
  store_revision revision_;
  std::uint32_t failures_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_REGISTRY_REGISTRATION_H_
