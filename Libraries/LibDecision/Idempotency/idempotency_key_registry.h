#ifndef LIBDECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_REGISTRY_H_
#define LIBDECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_REGISTRY_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "LibDecision/Idempotency/issued_key.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// Time from its issue during which a key is valid and its answer is kept.
inline constexpr duration kKeyLifetime = std::chrono::minutes(2);

/// Memory limits of a registry.
struct key_limits {
  /// Unexpired keys, used or not.
  std::size_t keys = 32'768;
  /// Size of all cached answers, in bytes.
  std::uint64_t answer_bytes = 8ULL * 1024 * 1024;
};

/// What to do with work that carries an idempotency key.
enum class key_action : std::uint8_t {
  kExecute,  ///< Not executed yet: execute the work.
  kReplay,   ///< Executed before: replay the cached answer.
  kRefuse,   ///< Refuse the work; `refusal` says why.
};

struct key_decision {
  key_action action = key_action::kExecute;
  error_kind refusal = error_kind::kInternal;
  /// What is certain about the execution of the work, over all attempts with
  /// this key.
  execution_state execution = execution_state::kNotExecuted;
};

/// Issues idempotency keys that name this run of this node as their home, and
/// tracks the state of each, so that work with a key is executed at most once.
class idempotency_key_registry {
 public:
  explicit idempotency_key_registry(key_limits limits = {}) : limits_(limits) {}

  void Start(node_id node, incarnation run);

  /// Issues a key for the service, class and tenant in `metadata`. Returns
  /// `nullopt` if a memory limit is reached.
  std::optional<idempotency_key> Issue(event_context& context,
                                       const request_metadata& metadata);
  /// The home that a key names; `nullopt` if the text is not that of an issued
  /// key.
  static std::optional<key_home> HomeOf(const idempotency_key& key);

  /// Decides what to do with work that arrived with the key in `metadata`.
  /// On `kExecute`, the key is recorded as in progress for `work`.
  key_decision OnWork(event_context& context,
                      const request_metadata& metadata,
                      work_id work);
  /// `work` was refused before it reached the endpoint: a later attempt may use
  /// the key.
  void OnNotExecuted(const idempotency_key& key, work_id work);
  /// `work`, which may have reached the endpoint, has ended.
  void OnFinished(event_context& context,
                  const idempotency_key& key,
                  work_id work,
                  const outcome& result);
  /// Removes the expired keys.
  void OnTimer(event_context& context);

  /// Unexpired keys, used or not.
  std::size_t key_count() const { return entries_.size(); }
  /// Size of all cached answers, in bytes.
  std::uint64_t answer_bytes() const { return answer_bytes_; }

 private:
  enum class key_state : std::uint8_t {
    kUnused,
    kInProgress,
    kCached,         ///< Ended; the embedder keeps the complete answer.
    kNotReplayable,  ///< Ended without an answer that can be replayed.
  };
  /// One issued key. Its serial is `first_serial_` plus its index in
  /// `entries_`.
  struct key_entry {
    std::uint64_t nonce = 0;
    instant issued;
    /// Hash of service, class and tenant.
    std::uint64_t request_fingerprint = 0;
    work_id work;
    std::uint32_t answer_bytes = 0;
    key_state state = key_state::kUnused;
    error_kind final_error = error_kind::kInternal;
    execution_state execution = execution_state::kUnknown;
  };

  key_entry* Find(const idempotency_key& key);
  key_decision DecideForKnownKey(event_context& context,
                                 key_entry& found,
                                 work_id work);
  bool IsFull() const;
  void ExpireKeys(event_context& context);
  void ScheduleExpiry(event_context& context);

  key_limits limits_;
  key_home self_;
  std::deque<key_entry> entries_;
  std::uint64_t first_serial_ = 0;
  std::uint64_t answer_bytes_ = 0;
  bool is_expiry_scheduled_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_REGISTRY_H_
