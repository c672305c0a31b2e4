#ifndef LIBDECISION_IDEMPOTENCY_ISSUED_KEY_H_
#define LIBDECISION_IDEMPOTENCY_ISSUED_KEY_H_

#include <cstdint>
#include <optional>

#include "LibDecision/ids.h"

namespace auburnfold {

/// The run of a node that issued a key. Only it executes work with the key.
struct key_home {
  node_id node;
  incarnation run;

  friend bool operator==(const key_home&, const key_home&) = default;
};

/// The contents of an idempotency key that a node issued.
struct issued_key {
  key_home home;
  /// Position among the keys that the home issued in this run.
  std::uint64_t serial = 0;
  /// Random number that only the home and the holder of the key know.
  std::uint64_t nonce = 0;

  friend bool operator==(const issued_key&, const issued_key&) = default;
};

/// Writes the key as text.
idempotency_key Format(const issued_key& key);

/// Parses a key; `nullopt` unless `Format` could have written the text.
std::optional<issued_key> ParseKey(const idempotency_key& text);

}  // namespace auburnfold

#endif  // LIBDECISION_IDEMPOTENCY_ISSUED_KEY_H_
