#ifndef LIBDECISION_REGISTRY_REGISTRATION_H_
#define LIBDECISION_REGISTRY_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "LibDecision/event.h"
#include "LibDecision/member_record.h"
#include "LibDecision/step.h"
#include "LibDecision/store_call_numbers.h"

namespace auburnfold {

/// Keeps this node's own record in the registry, under a lease that it renews.
/// One call to the key-value service is under way at a time.
class registration {
 public:
  /// Makes `record` the one that others are to see.
  void Publish(step& now, const member_record& record);
  /// The registry was seen to hold `value` under the own key.
  void OnSeen(step& now, const std::string& value, store_revision revision);
  /// The registry was seen to hold nothing under the own key.
  void OnMissing(step& now);
  /// Ends the lease, so that the record goes at once.
  void Withdraw(step& now);

  void OnStoreAnswered(step& now, const store_answered& answer);
  /// A renewal or another try is due.
  void OnTimer(step& now);

 private:
  enum class stage : std::uint8_t { kIdle, kGranting, kWriting, kRenewing };

  /// Starts the next call that is needed, unless one is under way.
  void Advance(step& now);
  void Call(step& now, stage next, store_request request);
  void OnGranted(step& now, const store_result& result);
  void OnWritten(step& now, const store_result& result);
  void OnRenewed(step& now, const store_result& result);
  void RetryLater(step& now);

  store_call_numbers numbers_{store_caller::kRegistration};
  stage stage_ = stage::kIdle;
  std::optional<store_call_id> call_;
  std::optional<store_lease> lease_;
  duration time_to_live_{};
  instant renew_at_{};
  node_id node_;
  /// What others are to see, and what the registry holds; empty if nothing.
  std::string wanted_;
  std::string written_;
  /// What the call under way writes.
  std::string writing_;
  /// Revision of the own key; 0 if it is absent.
  store_revision revision_;
  std::uint32_t failures_ = 0;
  bool is_withdrawn_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_REGISTRY_REGISTRATION_H_
