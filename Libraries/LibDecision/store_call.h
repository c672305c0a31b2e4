#ifndef LIBDECISION_STORE_CALL_H_
#define LIBDECISION_STORE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

/// A key of the key-value service with its value and revision.
struct store_entry {
  std::string key;
  std::string value;
  store_revision revision;
};

/// Reads one key.
struct store_get {
  std::string key;
};

/// Reads every key that starts with `prefix`.
struct store_list {
  std::string prefix;
};

/// Writes `value` if the key's revision is still `expected` (0: absent).
struct store_compare_and_swap {
  std::string key;
  std::string value;
  store_revision expected;
};

/// Waits until something under `prefix` is newer than `after`.
struct store_watch {
  std::string prefix;
  store_revision after;
};

using store_request =
    std::variant<store_get, store_list, store_compare_and_swap, store_watch>;

enum class store_status : std::uint8_t {
  kDone,
  kConflict,     ///< The revision was another one; `entries` has it.
  kUnavailable,  ///< Certainly without effect.
  kUnknown,      ///< The answer was lost; a write may have taken effect.
};

/// The answer of the key-value service.
struct store_result {
  store_status status = store_status::kDone;
  std::vector<store_entry> entries;
  /// The service's newest revision when it answered.
  store_revision revision;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_CALL_H_
