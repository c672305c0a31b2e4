#ifndef LIBDECISION_MEMBERSHIP_SEED_DISCOVERY_H_
#define LIBDECISION_MEMBERSHIP_SEED_DISCOVERY_H_

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

/// The part of the membership that `seed_discovery` works with.
struct domain_view {
  domain_name domain;
  /// Whether this node publishes the seed addresses of its failure domain.
  bool is_publisher = false;
  /// Whether this node knows no other member.
  bool is_alone = false;
  /// The addresses that the failure domain should publish.
  std::vector<node_address> addresses;
};

/// Publishes a few seed addresses per failure domain in the key-value store,
/// through which new nodes join. Only one node per domain publishes, so that
/// the number of store calls does not grow with the number of nodes.
class seed_discovery {
 public:
  void Start(event_context& context, const domain_view& view);
  /// Called once per heartbeat interval.
  void OnHeartbeatInterval(event_context& context, const domain_view& view);
  void OnStoreAnswered(event_context& context, const store_answered& answer);

  /// Seed addresses of all failure domains, as of the last read.
  const std::vector<node_address>& addresses() const { return addresses_; }

 private:
  void ReadSeeds(event_context& context);
  void OnReadResult(event_context& context, const store_result& result);
  void PublishIfNeeded(event_context& context,
                       const std::string& stored,
                       store_revision revision);
  void AddAddresses(std::string_view value);

  store_call_id_generator call_ids_{store_caller::kSeedDiscovery};
  domain_view domain_view_;
  std::vector<node_address> addresses_;
  std::optional<store_call_id> read_call_;
  std::optional<store_call_id> write_call_;
  instant next_read_{};
  instant alone_since_{};
  std::uint32_t reads_while_alone_ = 0;
};

/// Encodes one line per address: host, peer port and control port.
std::string EncodeAddresses(const std::vector<node_address>& addresses);

/// Decodes the format of `EncodeAddresses`. Skips malformed lines.
std::vector<node_address> DecodeAddresses(std::string_view value);

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_SEED_DISCOVERY_H_
