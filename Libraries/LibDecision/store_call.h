#ifndef LIBDECISION_STORE_CALL_H_
#define LIBDECISION_STORE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// A key of the key-value store with its value and revision.
struct store_entry {
  std::string key;
  std::string value;
  store_revision revision;
  /// The key was removed at this revision. Only reported by watches.
  bool is_removed = false;
};

/// An entry of the key-value store, left by another writer, that cannot be
/// read.
struct unreadable_entry {
  /// Empty if it cannot be read either.
  std::string key;
  /// 0 if it cannot be read either.
  store_revision revision;
  /// The field that cannot be read; a literal.
  std::string_view field;
};

/// Reads one key.
struct store_get {
  std::string key;
};

/// Reads every key that starts with `prefix`.
struct store_list {
  std::string prefix;
};

/// Writes `value` if the key's revision is `expected`, where 0 means that the
/// key is absent. If `lease` is set, the key is removed when the lease ends.
struct store_compare_and_swap {
  std::string key;
  std::string value;
  store_revision expected;
  store_lease lease;
};

/// Waits for changes under `prefix` that are newer than `after`, for at most
/// `max_wait`.
struct store_watch {
  std::string prefix;
  store_revision after;
  duration max_wait = std::chrono::seconds(10);
};

/// Grants a lease that expires after `time_to_live` unless it is renewed.
struct store_grant_lease {
  duration time_to_live{};
};

/// Restarts the time to live of a lease.
struct store_renew_lease {
  store_lease lease;
};

/// Ends a lease and removes its keys.
struct store_end_lease {
  store_lease lease;
};

using store_request = std::variant<store_get,
                                   store_list,
                                   store_compare_and_swap,
                                   store_watch,
                                   store_grant_lease,
                                   store_renew_lease,
                                   store_end_lease>;

enum class store_status : std::uint8_t {
  kDone,
  kConflict,      ///< The key has another revision; `entries` holds it.
  kUnavailable,   ///< The request certainly had no effect.
  kLeaseExpired,  ///< The lease has expired; the request had no effect.
  kHistoryGone,   ///< A watch starts before the oldest revision that the store
                  ///< keeps.
  kUnknown,       ///< The answer was lost; a write may have taken effect.
};

/// The answer of the key-value store.
struct store_result {
  store_status status = store_status::kDone;
  std::vector<store_entry> entries;
  /// Entries that are there but cannot be read.
  std::vector<unreadable_entry> unreadable;
  /// The newest revision of the store when it answered.
  store_revision revision;
  /// The lease that was granted, and its time to live.
  store_lease lease;
  duration time_to_live{};
  /// The era of the revisions and leases in this answer.
  store_era era;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_CALL_H_
