#ifndef LIBDECISION_ONCE_KEY_REGISTER_H_
#define LIBDECISION_ONCE_KEY_REGISTER_H_

#include <cstdint>
#include <optional>

#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/outcome.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// What to do with work that carries an idempotency key.
enum class key_verdict : std::uint8_t {
  kRun,     ///< First send of this key: run it.
  kReplay,  ///< It ran: answer with the remembered answer.
  kRefuse,  ///< Neither; `refusal` says why.
};

struct key_decision {
  key_verdict verdict = key_verdict::kRun;
  error_kind refusal = error_kind::kInternal;
};

/// Where an issued key's work is at home.
struct key_home {
  node_id node;
  incarnation run;
};

/// Issues idempotency keys that name this node and run as their home, and
/// remembers what became of each, so that work with a key runs at most once.
class key_register {
 public:
  void Start(node_id node, incarnation run);

  /// A new key, or nothing if the memory for keys is full.
  std::optional<idempotency_key> Issue(step& now);
  /// The home that a key names; nothing if auburnfold did not issue it.
  static std::optional<key_home> HomeOf(const idempotency_key& key);

  /// Decides about work that arrived with `key`.
  key_decision OnWork(step& now, const idempotency_key& key, work_id work);
  /// The work was refused before the endpoint could see it.
  void OnNotRun(step& now, const idempotency_key& key);
  /// The work reached the endpoint and ended.
  void OnFinished(step& now,
                  const idempotency_key& key,
                  work_id work,
                  const outcome& result);
  void OnTimer(step& now, std::uint64_t timer_key);

 private:
  node_id node_;
  incarnation run_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ONCE_KEY_REGISTER_H_
