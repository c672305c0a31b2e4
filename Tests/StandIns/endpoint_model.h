#ifndef STANDINS_ENDPOINT_MODEL_H_
#define STANDINS_ENDPOINT_MODEL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibDecision/instant.h"
#include "StandIns/endpoint_faults.h"
#include "StandIns/run_record.h"
#include "StandIns/service_time.h"
#include "StandIns/slot_queue.h"

namespace auburnfold {

struct endpoint_model_settings {
  std::uint32_t slots = 16;
  service_time_shape shape = service_time_shape::kFixed;
  duration mean_service_time = std::chrono::milliseconds(10);
  std::uint64_t seed = 1;
  /// While cold, service times are multiplied by `cold_factor`.
  duration cold_time{};
  double cold_factor = 3.0;
};

/// A request as the endpoint sees it.
struct endpoint_request {
  std::string request_id;
  std::string key;
  /// When its answer is useless.
  instant deadline;
};

/// Work that begins now and lasts `service_time`, deeper calls not included.
struct started_run {
  run_number run = 0;
  duration service_time{};
};

/// What the endpoint says about itself.
struct endpoint_report {
  bool is_leaving = false;
  bool is_healthy = true;
  double load = 0.0;
};

/// The behaviour of a stand-in endpoint without sockets or clocks.
class endpoint_model {
 public:
  endpoint_model(const endpoint_model_settings& settings, instant started);

  /// Queues a request; false if it was refused before any work.
  bool OnArrived(instant now, run_number run, endpoint_request request);
  /// Moves the queue on: what begins to run now. Queued requests whose
  /// deadline has passed are dropped and added to `expired`.
  std::vector<started_run> StartDue(instant now,
                                    std::vector<run_number>& expired);
  /// The work, deeper calls included, is done and its slot free.
  void OnFinished(run_number run);
  void OnAnswered(const endpoint_request& request);
  /// Stops queued or running work; `has_expired` tells why.
  void OnStopped(run_number run, bool has_expired);

  void ChangeFaults(instant now, const boost::json::object& change);
  endpoint_faults& faults() { return faults_; }
  const endpoint_faults& faults() const { return faults_; }
  /// Announces leaving; new work is counted as a fault after a while.
  void Leave(instant now);

  endpoint_report Report() const;
  const run_record& record() const { return record_; }
  const endpoint_request* Find(run_number run) const;
  bool is_idle() const { return requests_.empty(); }

 private:
  endpoint_model_settings settings_;
  instant started_;
  service_time times_;
  slot_queue slots_;
  endpoint_faults faults_;
  run_record record_;
  std::optional<instant> leaving_since_;
  std::unordered_map<run_number, endpoint_request> requests_;
};

}  // namespace auburnfold

#endif  // STANDINS_ENDPOINT_MODEL_H_
