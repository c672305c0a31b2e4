#ifndef LIBDECISION_MEMBER_RECORD_H_
#define LIBDECISION_MEMBER_RECORD_H_

#include <cstdint>

#include "LibDecision/ids.h"

namespace auburnfold {

/// What a node says about the endpoint beside it.
enum class member_state : std::uint8_t {
  kReady,
  kLeaving,  ///< Finishes what runs; takes nothing new.
  kGone,     ///< Left, or found dead.
};

/// What every node knows about one node and its endpoint. The newer record
/// has the higher (incarnation, version), and for equal ones the later state.
struct member_record {
  node_id node;
  incarnation run;
  std::uint64_t version = 0;
  member_state state = member_state::kReady;
  node_address address;
  domain_name domain;
  /// Empty while no endpoint has announced itself at the node.
  service_name service;
  /// Requests that the endpoint runs at once; 0 if it does not say.
  std::uint32_t slots = 0;

  friend bool operator==(const member_record&, const member_record&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBER_RECORD_H_
