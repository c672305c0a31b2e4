#ifndef STANDINS_KEY_VALUE_MODEL_H_
#define STANDINS_KEY_VALUE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "LibDecision/instant.h"

namespace auburnfold {

inline constexpr std::size_t kStoreValueLimitBytes = std::size_t{1024} * 1024;

/// A key with its value; `revision` is that of its last write.
struct key_value_entry {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

/// Another write came first. `current` is unset if the key is absent.
struct key_value_conflict {
  std::optional<key_value_entry> current;
};

struct value_too_large {};
struct lease_lapsed {};

using write_result = std::
    variant<key_value_entry, key_value_conflict, value_too_large, lease_lapsed>;

/// The platform's key-value service without sockets or clocks.
class key_value_model {
 public:
  std::optional<key_value_entry> Get(const std::string& key) const;
  /// Every entry whose key starts with `prefix` and is newer than `after`.
  std::vector<key_value_entry> List(const std::string& prefix,
                                    std::uint64_t after = 0) const;
  /// Keys under `prefix` that vanished after `after` and are still absent.
  std::vector<key_value_entry> Removed(const std::string& prefix,
                                       std::uint64_t after) const;
  /// Writes if the key's revision is `expected`; 0 means absent. The key
  /// vanishes with `lease`, if one is given.
  write_result Put(const std::string& key,
                   std::string value,
                   std::uint64_t expected,
                   std::optional<std::uint64_t> lease);

  std::uint64_t CreateLease(instant now, duration ttl);
  /// False if the lease has lapsed.
  bool RenewLease(instant now, std::uint64_t lease);
  /// Removes lapsed leases with their keys; the keys that vanished.
  std::vector<std::string> LapseLeases(instant now);
  /// Has the lease lapse now; false if it has lapsed before.
  bool EndLease(instant now, std::uint64_t lease);
  /// When the next lease lapses unless it is renewed.
  std::optional<instant> next_lapse() const;

  /// Keeps the present content under `name`.
  void SaveSnapshot(const std::string& name);
  /// Goes back to a snapshot, revisions included; false if there is none.
  bool RestoreSnapshot(const std::string& name);

  /// How long a lease lives after each renewal; zero if there is no such one.
  duration TimeToLive(std::uint64_t lease) const;
  std::uint64_t revision() const { return content_.revision; }

 private:
  struct stored_value {
    std::string value;
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> lease;
  };
  struct lease_state {
    instant lapses_at;
    duration ttl{};
  };
  struct content {
    std::map<std::string, stored_value> values;
    /// Revisions by which keys vanished.
    std::map<std::string, std::uint64_t> removed;
    std::uint64_t revision = 0;
  };

  content content_;
  std::unordered_map<std::uint64_t, lease_state> leases_;
  std::uint64_t next_lease_ = 1;
  std::unordered_map<std::string, content> snapshots_;
};

}  // namespace auburnfold

#endif  // STANDINS_KEY_VALUE_MODEL_H_
