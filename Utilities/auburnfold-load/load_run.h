#ifndef AUBURNFOLD_LOAD_LOAD_RUN_H_
#define AUBURNFOLD_LOAD_LOAD_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <random>
#include <string>

#include "auburnfold-load/load_call.h"
#include "auburnfold-load/load_plan.h"
#include "auburnfold-load/load_report.h"

namespace auburnfold {

/// Carries a plan out: sends by schedule, whatever the answers do.
class load_run {
 public:
  load_run(boost::asio::io_context& io,
           const load_plan& plan,
           load_report& report);

  /// Stops the context when every call of the plan has ended.
  void Start();
  /// Sends no more first sends; calls that are open still end.
  void EndEarly();

 private:
  using clock = load_call::clock;

  void BeginPhase();
  void SendDue();
  /// Finds when the next call is due.
  void Advance();
  void StopIfDone();
  /// Calls, and calls again once answered, until the phase ends.
  void CallInTurn(std::size_t phase);
  void Call(std::size_t phase,
            clock::time_point intended,
            std::function<void()> then);
  load_call::pools& ServersOf(load_path path);

  const load_plan& plan_;
  load_report& report_;
  load_call_context context_;
  load_call::pools nodes_;
  load_call::pools direct_;
  boost::asio::steady_timer timer_;
  std::discrete_distribution<std::size_t> class_choice_;
  std::string id_prefix_;
  std::uint64_t next_id_ = 1;
  clock::time_point start_;
  clock::time_point phase_end_;
  clock::time_point next_;
  std::size_t phase_ = 0;
  std::size_t open_ = 0;
  bool is_ended_early_ = false;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_LOAD_RUN_H_
