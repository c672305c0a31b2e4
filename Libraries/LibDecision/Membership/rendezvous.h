#ifndef LIBDECISION_MEMBERSHIP_RENDEZVOUS_H_
#define LIBDECISION_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/store_call_id_generator.h"

namespace auburnfold {

/// What the meeting point needs to know of the membership.
struct rendezvous_view {
  domain_name domain;
  /// This node is the one of its domain that keeps the domain's entry.
  bool is_keeper = false;
  /// No other member is known.
  bool is_alone = false;
  /// What the domain's entry should hold.
  std::vector<node_address> wanted;
};

/// A few addresses per failure domain, kept in the key-value service so that
/// new nodes find the others. One node per domain keeps the entry, so calls
/// do not grow with the number of nodes.
class rendezvous {
 public:
  void Start(event_context& context, const rendezvous_view& view);
  /// Called at each heartbeat interval.
  void OnTick(event_context& context, const rendezvous_view& view);
  void OnStoreAnswered(event_context& context, const store_answered& answer);

  /// Addresses read last, of every domain.
  const std::vector<node_address>& addresses() const { return addresses_; }

 private:
  void Read(event_context& context);
  void OnRead(event_context& context, const store_result& result);
  void WriteIfNeeded(event_context& context,
                     const std::string& stored,
                     store_revision revision);
  void Learn(std::string_view value);

  store_call_id_generator call_ids_{store_caller::kRendezvous};
  rendezvous_view view_;
  std::vector<node_address> addresses_;
  std::optional<store_call_id> read_call_;
  std::optional<store_call_id> write_call_;
  instant next_read_{};
  instant alone_since_{};
  std::uint32_t reads_alone_ = 0;
};

/// One line per address: host, peer port and control port.
std::string EncodeAddresses(const std::vector<node_address>& addresses);

/// Reads what `EncodeAddresses` wrote; lines that make no sense are left out.
std::vector<node_address> DecodeAddresses(std::string_view value);

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_RENDEZVOUS_H_
