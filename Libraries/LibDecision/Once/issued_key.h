#ifndef LIBDECISION_ONCE_ISSUED_KEY_H_
#define LIBDECISION_ONCE_ISSUED_KEY_H_

#include <cstdint>
#include <optional>

#include "LibDecision/ids.h"

namespace auburnfold {

/// Where an issued key's work is at home.
struct key_home {
  node_id node;
  incarnation run;

  friend bool operator==(const key_home&, const key_home&) = default;
};

/// What an issued key says.
struct issued_key {
  key_home home;
  /// Position among the keys that the home issued in this run.
  std::uint64_t serial = 0;
  /// Random number that only the home and the key's holder know.
  std::uint64_t nonce = 0;

  friend bool operator==(const issued_key&, const issued_key&) = default;
};

/// The text of a key.
idempotency_key Format(const issued_key& key);

/// Reads the text of a key; nothing unless `Format` could have written it.
std::optional<issued_key> ParseKey(const idempotency_key& text);

}  // namespace auburnfold

#endif  // LIBDECISION_ONCE_ISSUED_KEY_H_
