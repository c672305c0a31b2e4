#ifndef LIBDECISION_STORE_CALL_H_
#define LIBDECISION_STORE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// A key of the key-value service with its value and revision.
struct store_entry {
  std::string key;
  std::string value;
  store_revision revision;
  /// The key was removed by this revision; only watches show it.
  bool is_removed = false;
};

/// Reads one key.
struct store_get {
  std::string key;
};

/// Reads every key that starts with `prefix`.
struct store_list {
  std::string prefix;
};

/// Writes `value` if the key's revision is still `expected` (0: absent). The
/// key is removed when `lease` ends, if one is named.
struct store_compare_and_swap {
  std::string key;
  std::string value;
  store_revision expected;
  store_lease lease;
};

/// Waits until something under `prefix` is newer than `after`, at most for
/// `longest_wait`.
struct store_watch {
  std::string prefix;
  store_revision after;
  duration longest_wait = std::chrono::seconds(10);
};

/// Begins a lease that ends after `time_to_live` unless it is renewed.
struct store_grant_lease {
  duration time_to_live{};
};

/// Starts the time of a lease anew.
struct store_renew_lease {
  store_lease lease;
};

/// Ends a lease, and with it its keys.
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
  kConflict,     ///< The revision was another one; `entries` has it.
  kUnavailable,  ///< Certainly without effect.
  kNoLease,      ///< The lease has ended; without effect.
  kHistoryGone,  ///< A watch began before what the service remembers.
  kUnknown,      ///< The answer was lost; a write may have taken effect.
};

/// The answer of the key-value service.
struct store_result {
  store_status status = store_status::kDone;
  std::vector<store_entry> entries;
  /// The service's newest revision when it answered.
  store_revision revision;
  /// The lease that was granted, and how long it lives.
  store_lease lease;
  duration time_to_live{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_CALL_H_
