#ifndef LIBDECISION_ADMISSION_ADMISSION_H_
#define LIBDECISION_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "LibDecision/answer_facts.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_facts.h"
#include "LibDecision/step.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// What was decided about one work.
struct admission_decision {
  work_id work;
  /// Run it if unset, otherwise refuse it.
  std::optional<error_kind> refusal;
};

/// Decides which work may run at the own endpoint, and when.
class admission {
 public:
  /// Offers new work. The decisions may concern other, queued work; work that
  /// is in no decision waits in the queue.
  std::vector<admission_decision> Offer(step& now,
                                        work_id work,
                                        const request_facts& facts,
                                        const row_settings& settings);
  /// Admitted work ended. `own_time` is the time it ran, less the time it
  /// waited for deeper calls.
  std::vector<admission_decision> OnFinished(step& now,
                                             work_id work,
                                             const outcome& result,
                                             duration own_time);
  /// Queued or admitted work is no longer wanted.
  std::vector<admission_decision> OnCancelled(step& now, work_id work);
  std::vector<admission_decision> OnTimer(step& now, std::uint64_t key);

  /// Fills in level, in-flight count and delay for an answer to `facts`.
  void Describe(const request_facts& facts, answer_facts& answer) const;

  /// Works admitted and not yet ended.
  std::uint32_t running() const { return running_; }

 private:
  std::uint32_t running_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ADMISSION_H_
