#ifndef LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_
#define LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_

#include <unordered_map>
#include <vector>

#include "LibDecision/event.h"
#include "LibDecision/member_record.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// What this node knows about all others, and tells them about its endpoint.
class membership {
 public:
  void Start(step& now, const node_started& self);
  void OnEndpointReported(step& now, const endpoint_reported& report);
  void OnStopRequested(step& now);
  void OnMessage(step& now, const peer_message& message);
  void OnStoreAnswered(step& now, const store_answered& answer);
  void OnTimer(step& now, std::uint64_t key);

  /// Takes `record` if it is newer than the copy held. Returns whether it was.
  bool Take(step& now, const member_record& record);

  /// Every node whose endpoint offers `service` and is ready.
  std::vector<const member_record*> ReadyEndpoints(
      const service_name& service) const;
  /// The record of `node`; nothing if it is not known.
  const member_record* Find(node_id node) const;
  bool has_service(const service_name& service) const;
  const member_record& self() const { return self_; }

 private:
  void Announce(step& now);

  member_record self_;
  std::unordered_map<node_id, member_record> members_;
  std::vector<node_address> seeds_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_
