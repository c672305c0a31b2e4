#include "StandIns/endpoint_model.h"

#include <utility>

namespace auburnfold {

namespace {

// A leaving endpoint receives no new work after this time.
constexpr duration kLeavingGracePeriod = std::chrono::seconds(3);

}  // namespace

endpoint_model::endpoint_model(const endpoint_model_settings& settings,
                               instant started)
    : settings_(settings),
      started_(started),
      times_(settings.shape, settings.mean_service_time, settings.seed),
      slots_(settings.slots) {}

bool endpoint_model::OnArrived(instant now,
                               run_number run,
                               endpoint_request request) {
  if (leaving_since_ && now - *leaving_since_ > kLeavingGracePeriod) {
    record_.OnNewWorkWhileLeaving();
  }
  if (faults_.sheds) {
    record_.OnShed();
    return false;
  }
  requests_.emplace(run, std::move(request));
  slots_.Add(run);
  return true;
}

std::vector<started_run> endpoint_model::StartDue(
    instant now,
    std::vector<run_number>& expired) {
  std::vector<started_run> started;
  while (const auto next = slots_.StartNext()) {
    const endpoint_request& request = requests_.at(*next);
    if (request.deadline <= now) {
      expired.push_back(*next);
      OnStopped(*next, true);
      continue;
    }
    record_.OnStarted(request.request_id, request.key);
    double factor = faults_.slow_factor;
    if (now - started_ < settings_.cold_time) {
      factor *= settings_.cold_factor;
    }
    started.push_back(
        {*next, std::chrono::duration_cast<duration>(times_.Next() * factor)});
  }
  return started;
}

void endpoint_model::OnFinished(run_number run) {
  const auto found = requests_.find(run);
  record_.OnFinished(found->second.request_id, found->second.key);
  slots_.Remove(run);
  requests_.erase(found);
}

void endpoint_model::OnAnswered(const endpoint_request& request) {
  record_.OnAnswered(request.request_id, request.key);
}

void endpoint_model::OnStopped(run_number run, bool has_expired) {
  if (requests_.erase(run) == 0) {
    return;
  }
  slots_.Remove(run);
  if (has_expired) {
    record_.OnExpired();
  } else {
    record_.OnCancelled();
  }
}

void endpoint_model::ChangeFaults(instant now,
                                  const boost::json::object& change) {
  auburnfold::ChangeFaults(faults_, change);
  if (!change.contains("leaves")) {
    return;
  }
  if (faults_.leaves) {
    Leave(now);
  } else {
    leaving_since_.reset();
  }
}

void endpoint_model::Leave(instant now) {
  if (!leaving_since_) {
    leaving_since_ = now;
  }
}

endpoint_report endpoint_model::Report() const {
  const double used = static_cast<double>(slots_.running() + slots_.queued());
  endpoint_report report;
  report.is_leaving = leaving_since_.has_value();
  report.is_healthy = faults_.fixed_healthy.value_or(true);
  report.load = faults_.fixed_load.value_or(used / slots_.slots());
  return report;
}

const endpoint_request* endpoint_model::Find(run_number run) const {
  const auto found = requests_.find(run);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace auburnfold
