#include "run_record.h"

#include <algorithm>
#include <limits>

namespace auburnfold::scenarios {

namespace {

using namespace std::chrono_literals;

constexpr duration kBucket = 100ms;
constexpr duration kRecoveryWindow = 1s;
constexpr double kRecoveredShare = 0.95;
constexpr std::uint8_t kImportantPriority = 7;

double InSeconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

void run_record::OnDemand(const std::string& root,
                          std::size_t traffic,
                          duration at) {
  roots_[root] = {.traffic = traffic, .wanted = at};
}

void run_record::OnClientSend(const std::string& root) {
  ++roots_.at(root).sends;
}

void run_record::OnRun(const std::string& operation,
                       const std::string& send,
                       bool is_idempotent) {
  sends_run_.insert(send);
  const std::uint32_t runs = ++runs_[operation];
  if (runs > 1 && !is_idempotent) {
    ++double_runs_;
  }
}

void run_record::OnRetry(const std::string& root, std::uint16_t allowance) {
  if (++retries_[root] > allowance) {
    ++attempt_violations_;
  }
}

void run_record::OnWhole(const std::string& root,
                         const std::string& body,
                         duration at) {
  if (body != root) {
    ++foreign_answers_;
    return;
  }
  root_record& record = roots_.at(root);
  if (record.answered == duration::min()) {
    record.answered = at;
  }
}

void run_record::OnRefused(const std::string& send,
                           error_kind kind,
                           execution_state execution) {
  ++errors_[std::string(TraitsOf(kind).name)];
  if (execution == execution_state::kNotExecuted) {
    told_not_run_.push_back(send);
  }
}

std::map<std::string, double> run_record::Figures() const {
  std::map<std::string, double> figures;
  figures["goodput"] = GoodputShare();
  figures["recovery_s"] = RecoverySeconds();
  double important = 1;
  for (std::size_t i = 0; i < plan_.classes.size(); ++i) {
    const double success = SuccessShare(i);
    figures["success_" + plan_.classes[i].name] = success;
    if (plan_.classes[i].row.priority == kImportantPriority) {
      important = std::min(important, success);
    }
  }
  figures["important_success"] = important;
  figures["double_runs"] = static_cast<double>(double_runs_);
  figures["attempt_violations"] = static_cast<double>(attempt_violations_);
  figures["foreign_answers"] = static_cast<double>(foreign_answers_);
  // Counted at the end, since a run after the answer makes it false too.
  figures["false_not_run"] = static_cast<double>(std::count_if(
      told_not_run_.begin(), told_not_run_.end(),
      [this](const std::string& send) { return sends_run_.contains(send); }));
  figures["double_answers"] = static_cast<double>(double_answers_);
  figures["drain_new_work_violations"] =
      static_cast<double>(runs_while_leaving_);
  figures["stop_cut_requests"] = static_cast<double>(stop_cuts_);
  double retries = 0;
  for (const auto& [name, count] : retries_) {
    retries += count;
  }
  double sends = 0;
  for (const auto& [name, root] : roots_) {
    sends += root.sends;
  }
  const double roots = std::max(1.0, static_cast<double>(roots_.size()));
  figures["retries_per_root"] = retries / roots;
  figures["sends_per_root"] = sends / roots;
  for (const auto& [name, count] : errors_) {
    figures["error_" + name] = static_cast<double>(count);
  }
  return figures;
}

bool run_record::IsUseful(const root_record& root) const {
  return root.answered != duration::min();
}

// Useful whole answers inside the trigger against the ideal: all demand that
// capacity allows at each moment.
double run_record::GoodputShare() const {
  double ideal = 0;
  for (duration at = plan_.trigger_begin; at < plan_.trigger_end;
       at += kBucket) {
    ideal += std::min(DemandAt(at), CapacityAt(at)) * InSeconds(kBucket);
  }
  const auto served =
      std::count_if(roots_.begin(), roots_.end(), [this](const auto& entry) {
        const duration answered = entry.second.answered;
        return answered >= plan_.trigger_begin && answered < plan_.trigger_end;
      });
  return static_cast<double>(served) / ideal;
}

double run_record::SuccessShare(std::size_t traffic) const {
  double wanted = 0;
  double useful = 0;
  for (const auto& [name, root] : roots_) {
    const bool is_counted =
        root.traffic == traffic && root.wanted < plan_.length - plan_.deadline;
    if (is_counted) {
      wanted += 1;
      useful += IsUseful(root) ? 1 : 0;
    }
  }
  return wanted == 0 ? 1 : useful / wanted;
}

double run_record::RecoverySeconds() const {
  for (duration from = plan_.trigger_end;
       from + kRecoveryWindow + plan_.deadline <= plan_.length;
       from += kBucket) {
    double wanted = 0;
    double useful = 0;
    for (const auto& [name, root] : roots_) {
      if (root.wanted >= from && root.wanted < from + kRecoveryWindow) {
        wanted += 1;
        useful += IsUseful(root) ? 1 : 0;
      }
    }
    if (wanted > 0 && useful / wanted >= kRecoveredShare) {
      return InSeconds(from - plan_.trigger_end);
    }
  }
  return std::numeric_limits<double>::max();
}

double run_record::DemandAt(duration at) const {
  double times = 0;
  for (const demand_step& event_context : plan_.demand) {
    if (event_context.at <= at) {
      times = event_context.times;
    }
  }
  return times * plan_.capacity();
}

double run_record::CapacityAt(duration at) const {
  std::map<std::string, double> slowness;
  std::map<std::string, bool> is_lost;
  for (const fault_line& fault : plan_.faults) {
    if (fault.at > at) {
      continue;
    }
    if (fault.verb == "slow") {
      slowness[fault.target] = fault.argument;
    }
    if (fault.verb == "heal") {
      slowness.erase(fault.target);
    }
    if (fault.verb == "kill-domain") {
      is_lost[fault.target] = true;
    }
    if (fault.verb == "start-domain") {
      is_lost[fault.target] = false;
    }
  }
  double share = 1;
  for (const auto& [service, factor] : slowness) {
    share = std::min(share, 1 / factor);
  }
  const auto lost =
      std::count_if(is_lost.begin(), is_lost.end(),
                    [](const auto& entry) { return entry.second; });
  const double kept = 1 - static_cast<double>(lost) / plan_.domains;
  return plan_.capacity() * share * kept;
}

}  // namespace auburnfold::scenarios
