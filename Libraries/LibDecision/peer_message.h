#ifndef LIBDECISION_PEER_MESSAGE_H_
#define LIBDECISION_PEER_MESSAGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/member_record.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Says "alive", and what the sender knows, as digests.
struct heartbeat {
  std::uint64_t member_digest = 0;
  std::uint64_t table_digest = 0;
};

/// Changed records, passed on by whoever had older ones.
struct member_update {
  std::vector<member_record> records;
};

/// Changed rows, passed on by whoever had older ones.
struct row_update {
  std::vector<table_row> rows;
};

/// Digest of each of a fixed number of buckets; sent when whole digests
/// differ.
struct bucket_digests {
  std::vector<std::uint64_t> members;
  std::vector<std::uint64_t> rows;
};

/// Asks for everything in the named buckets.
struct bucket_request {
  std::vector<std::uint16_t> members;
  std::vector<std::uint16_t> rows;
};

/// A control message between two nodes.
struct peer_message {
  node_id from;
  incarnation from_run;
  /// Where `from` can be answered, also if it is not yet a known member.
  node_address from_address;
  std::variant<heartbeat,
               member_update,
               row_update,
               bucket_digests,
               bucket_request>
      content;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PEER_MESSAGE_H_
