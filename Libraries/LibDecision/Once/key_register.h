#ifndef LIBDECISION_ONCE_KEY_REGISTER_H_
#define LIBDECISION_ONCE_KEY_REGISTER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "LibDecision/Once/issued_key.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// Time from its issue for which a key is good and its answer remembered.
inline constexpr duration kKeyLife = std::chrono::minutes(2);

/// What a register may hold.
struct key_bounds {
  /// Keys whose life has not passed, used or not.
  std::size_t keys = 32'768;
  /// Remembered answers.
  std::uint64_t answer_bytes = 8ULL * 1024 * 1024;
};

/// What to do with work that carries an idempotency key.
enum class key_verdict : std::uint8_t {
  kRun,     ///< First send of this key: run it.
  kReplay,  ///< It ran: answer with the remembered answer.
  kRefuse,  ///< Neither; `refusal` says why.
};

struct key_decision {
  key_verdict verdict = key_verdict::kRun;
  error_kind refusal = error_kind::kInternal;
  /// What is certain about the work of the key, whichever send it came with.
  execution_state execution = execution_state::kNotExecuted;
};

/// Issues idempotency keys that name this node and run as their home, and
/// remembers what became of each, so that work with a key runs at most once.
class key_register {
 public:
  explicit key_register(key_bounds bounds = {}) : bounds_(bounds) {}

  void Start(node_id node, incarnation run);

  /// A new key for requests like `metadata`, or nothing if the memory for keys
  /// is full.
  std::optional<idempotency_key> Issue(event_context& context,
                                       const request_metadata& metadata);
  /// The home that a key names; nothing if auburnfold did not issue it.
  static std::optional<key_home> HomeOf(const idempotency_key& key);

  /// Decides about work that arrived with the key in `metadata`. The verdict
  /// `kRun` records the key as in progress for `work`.
  key_decision OnWork(event_context& context,
                      const request_metadata& metadata,
                      work_id work);
  /// `work` was refused before the endpoint could see it: the key may be
  /// used by a later send.
  void OnNotRun(const idempotency_key& key, work_id work);
  /// `work` may have reached the endpoint and ended.
  void OnFinished(event_context& context,
                  const idempotency_key& key,
                  work_id work,
                  const outcome& result);
  /// Forgets the keys whose life has passed.
  void OnTimer(event_context& context);

  /// Keys whose life has not passed.
  std::size_t key_count() const { return slots_.size(); }
  std::uint64_t answer_bytes() const { return answer_bytes_; }

 private:
  enum class slot_state : std::uint8_t {
    kUnused,
    kInProgress,
    kRemembered,  ///< Ended; the embedder has the whole answer.
    kSealed,      ///< Ended without an answer that can be replayed.
  };
  /// One issued key; its serial is its position in `slots_`.
  struct slot {
    std::uint64_t nonce = 0;
    instant issued;
    /// Hash of service, class and tenant.
    std::uint64_t request = 0;
    work_id work;
    std::uint32_t answer_bytes = 0;
    slot_state state = slot_state::kUnused;
    error_kind sealed_as = error_kind::kInternal;
    execution_state execution = execution_state::kUnknown;
  };

  slot* Find(const idempotency_key& key);
  key_decision Decide(event_context& context, slot& found, work_id work);
  bool IsMemoryFull() const;
  void ForgetExpired(event_context& context);
  void ScheduleForgetting(event_context& context);

  key_bounds bounds_;
  key_home self_;
  std::deque<slot> slots_;
  std::uint64_t first_serial_ = 0;
  std::uint64_t answer_bytes_ = 0;
  bool is_forgetting_scheduled_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ONCE_KEY_REGISTER_H_
