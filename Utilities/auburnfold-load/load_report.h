#ifndef AUBURNFOLD_LOAD_LOAD_REPORT_H_
#define AUBURNFOLD_LOAD_LOAD_REPORT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "auburnfold-load/call_tally.h"
#include "auburnfold-load/load_plan.h"
#include "auburnfold-load/recovery.h"

namespace auburnfold {

/// The end of a surge, and until when recovery from it can show. Times count
/// from the start of the run.
struct surge_window {
  std::string phase;
  std::chrono::milliseconds end{};
  std::chrono::milliseconds until{};
};

/// What came of a run, by class, path, phase and second.
class load_report {
 public:
  explicit load_report(const load_plan& plan);

  void OnFinished(const finished_call& call);
  /// How much later than intended a call was sent. Large delays mean that the
  /// load tool itself was too slow.
  void OnSendDelay(std::chrono::microseconds delay) { send_delay_.Add(delay); }

  const load_plan& plan() const { return plan_; }
  const call_tally& total(load_path path) const;
  const call_tally& of_class(std::size_t class_index, load_path path) const;
  const call_tally& of_phase(std::size_t phase, std::size_t class_index) const;
  const call_tally& of_second(std::size_t second,
                              std::size_t class_index) const;
  std::size_t seconds() const { return by_second_.size(); }
  const log_linear_histogram& send_delay() const { return send_delay_; }

  /// The surges of the plan, each with the time until the next one.
  const std::vector<surge_window>& surges() const { return surges_; }
  /// Over all classes, or of one class; nothing if the window ended first.
  std::optional<std::chrono::milliseconds> Recovery(
      const surge_window& surge) const;
  std::optional<std::chrono::milliseconds> Recovery(
      const surge_window& surge,
      std::size_t class_index) const;

 private:
  using tallies = std::vector<call_tally>;
  struct path_tallies {
    call_tally total;
    tallies by_class;
  };

  const path_tallies& of_path(load_path path) const;

  const load_plan& plan_;
  std::vector<surge_window> surges_;
  path_tallies node_;
  path_tallies direct_;
  std::vector<tallies> by_phase_;
  std::vector<tallies> by_second_;
  recovery_meter recovery_;
  std::vector<recovery_meter> recovery_by_class_;
  log_linear_histogram send_delay_;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_LOAD_REPORT_H_
