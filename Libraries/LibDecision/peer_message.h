#ifndef LIBDECISION_PEER_MESSAGE_H_
#define LIBDECISION_PEER_MESSAGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/member_record.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Shows that the sender is alive, and carries digests of its records and rows.
struct heartbeat {
  std::uint64_t member_digest = 0;
  std::uint64_t table_digest = 0;
};

/// Changed records; each receiver that held older ones forwards them.
struct member_update {
  std::vector<member_record> records;
};

/// Changed rows; each receiver that held older ones forwards them.
struct row_update {
  std::vector<table_row> rows;
};

/// One digest per bucket, for a fixed number of buckets. Sent if the digests of
/// the heartbeats differ.
struct bucket_digests {
  std::vector<std::uint64_t> members;
  std::vector<std::uint64_t> rows;
};

/// Requests the whole content of the given buckets.
struct bucket_request {
  std::vector<std::uint16_t> members;
  std::vector<std::uint16_t> rows;
};

/// A control message between two nodes.
struct peer_message {
  node_id from;
  incarnation from_run;
  /// Reply address of `from`, which need not be a known member yet.
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
