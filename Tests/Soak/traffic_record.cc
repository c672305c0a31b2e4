#include "traffic_record.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnfold::soak {

namespace {

// From the rules of the platform.
constexpr std::chrono::milliseconds kStableWindow{3000};
constexpr std::chrono::milliseconds kDrainTime{2500};
/// What a stop may last, and the second behind it.
constexpr std::chrono::milliseconds kPlannedWindow{7000};
constexpr std::size_t kToleratedLosses = 3;
constexpr std::size_t kToleratedDenials = 5;
constexpr std::size_t kRequestsPerDenial = 500;
/// The longest deadline of a request, and the three seconds behind it.
constexpr std::chrono::milliseconds kLongestWait{9000};

bool IsRefusal(unsigned status) {
  constexpr std::array kRefusals{408U, 421U, 429U, 503U};
  return std::find(kRefusals.begin(), kRefusals.end(), status) !=
         kRefusals.end();
}

bool IsDenial(unsigned status) {
  return status >= 300 && status < 500 && !IsRefusal(status);
}

}  // namespace

const char* NameOf(rule broken) {
  constexpr std::array kNames{"TWICE", "REFUSED", "MIXED",  "UNASKED",
                              "LOST",  "DRAIN",   "DENIED", "UNANSWERED"};
  return kNames.at(static_cast<std::size_t>(broken));
}

std::string TextOf(const std::string& id, std::size_t size) {
  std::string text;
  text.reserve(size + id.size() + 1);
  while (text.size() < size) {
    text += id;
    text += '.';
  }
  text.resize(size);
  return text;
}

void traffic_record::Log(const std::string& text) {
  const std::chrono::duration<double> since = soak_clock::now() - began_;
  log_ << since.count() << ' ' << text << std::endl;
}

void traffic_record::OnSent(const sent_request& request) {
  const std::lock_guard lock(mutex_);
  requests_[request.id] = {.request = request, .sent_at = soak_clock::now()};
}

void traffic_record::OnAnswered(const std::string& id,
                                unsigned status,
                                const std::string& problem) {
  const std::lock_guard lock(mutex_);
  request_facts& facts = requests_.at(id);
  facts.end = request_end::kAnswered;
  facts.ended_at = soak_clock::now();
  facts.status = status;
  if (!problem.empty()) {
    problems_[id] = problem;
  }
}

void traffic_record::OnEnded(const std::string& id, request_end end) {
  const std::lock_guard lock(mutex_);
  request_facts& facts = requests_.at(id);
  facts.end = end;
  facts.ended_at = soak_clock::now();
  if (end == request_end::kClosed && !facts.runs.empty()) {
    Log(id + " ran and was closed by node " +
        std::to_string(facts.request.node));
  }
}

void traffic_record::OnUnexpectedAnswer(const std::string& client) {
  const std::lock_guard lock(mutex_);
  found_.push_back(
      {rule::kMixed, "an answer that " + client + " had no request for"});
}

std::size_t traffic_record::OnRun(std::size_t endpoint,
                                  const std::string& id,
                                  const std::string& method,
                                  const std::string& target,
                                  bool is_content_whole) {
  const std::lock_guard lock(mutex_);
  run_facts run{.endpoint = endpoint, .at = soak_clock::now()};
  const auto left = leaves_.find(endpoint);
  run.is_late = left != leaves_.end() && run.at > left->second + kDrainTime;
  if (run.is_late) {
    Log(id + " runs late at endpoint " + std::to_string(endpoint));
  }
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    found_.push_back({rule::kUnasked, "no client sent " + id});
  } else {
    const sent_request& sent = found->second.request;
    if (sent.method != method || sent.target != target || !is_content_whole) {
      found_.push_back({rule::kUnasked,
                        id + " ran as " + method + " " + target.substr(0, 80) +
                            (is_content_whole ? "" : ", its content changed")});
    }
    found->second.runs.push_back(runs_.size());
  }
  runs_.push_back(run);
  return runs_.size() - 1;
}

void traffic_record::OnBrokenOff(std::size_t run) {
  const std::lock_guard lock(mutex_);
  runs_[run].is_broken_off = true;
}

void traffic_record::OnLeaveAcknowledged(std::size_t endpoint, moment when) {
  const std::lock_guard lock(mutex_);
  leaves_.emplace(endpoint, when);
  Log("endpoint " + std::to_string(endpoint) + " leaves");
}

void traffic_record::OnEndpointStarted(std::size_t endpoint) {
  const std::lock_guard lock(mutex_);
  leaves_.erase(endpoint);
  Log("endpoint " + std::to_string(endpoint) + " starts");
}

std::size_t traffic_record::OnDisrupted(std::size_t node,
                                        disruption_kind kind,
                                        const std::string& what) {
  const std::lock_guard lock(mutex_);
  Log("disruption " + std::to_string(disruptions_.size()) + ": " + what +
      " at node " + std::to_string(node));
  disruptions_.push_back(
      {.node = node, .kind = kind, .began = soak_clock::now()});
  return disruptions_.size() - 1;
}

void traffic_record::OnDisruptionEnded(std::size_t disruption) {
  const std::lock_guard lock(mutex_);
  disruptions_[disruption].ended = soak_clock::now();
  Log("disruption " + std::to_string(disruption) + " ends");
}

std::size_t traffic_record::CountOpen() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [](const auto& entry) { return !entry.second.end; }));
}

// Rules with a bound in time hold for nodes that neither were disturbed nor had
// a disturbed store then, or in the stable window before.
bool traffic_record::IsDisrupted(std::size_t node,
                                 moment from,
                                 moment until) const {
  return std::any_of(
      disruptions_.begin(), disruptions_.end(), [&](const disruption& each) {
        const bool concerns_node =
            each.node == node || each.kind == disruption_kind::kStore;
        return concerns_node && each.began <= until &&
               (!each.ended || *each.ended >= from - kStableWindow);
      });
}

bool traffic_record::HasPlannedWork(std::size_t node,
                                    moment from,
                                    moment until) const {
  return std::any_of(
      disruptions_.begin(), disruptions_.end(), [&](const disruption& each) {
        return each.node == node && each.kind == disruption_kind::kPlanned &&
               each.began <= until && each.began + kPlannedWindow >= from;
      });
}

bool traffic_record::HasUnplannedWork(moment from, moment until) const {
  return std::any_of(
      disruptions_.begin(), disruptions_.end(), [&](const disruption& each) {
        return each.kind != disruption_kind::kPlanned && each.began <= until &&
               (!each.ended || *each.ended >= from - kStableWindow);
      });
}

// A request that crosses a close and was not passed on is not lost.
bool traffic_record::IsLost(const request_facts& facts,
                            bool& is_planned) const {
  if (facts.end != request_end::kClosed || facts.runs.empty()) {
    return false;
  }
  const bool is_sound = std::none_of(
      facts.runs.begin(), facts.runs.end(),
      [this](std::size_t run) { return runs_[run].is_broken_off; });
  if (!is_sound) {
    return false;
  }
  const std::size_t node = facts.request.node;
  is_planned = HasPlannedWork(node, facts.sent_at, facts.ended_at);
  return is_planned ? !HasUnplannedWork(facts.sent_at, facts.ended_at)
                    : !IsDisrupted(node, facts.sent_at, facts.ended_at);
}

// The acknowledgement binds whatever happened to the node that gave it, but not
// while a node on the way is disturbed.
void traffic_record::JudgeDrain(const request_facts& facts,
                                std::vector<finding>& findings) const {
  for (const std::size_t number : facts.runs) {
    const run_facts& run = runs_[number];
    const bool is_broken =
        run.is_late &&
        !IsDisrupted(facts.request.node, facts.sent_at, run.at) &&
        !IsDisrupted(run.endpoint, facts.sent_at, run.at);
    if (is_broken) {
      findings.push_back({rule::kDrain, facts.request.id + " ran at endpoint " +
                                            std::to_string(run.endpoint)});
    }
  }
}

void traffic_record::JudgeRequest(const request_facts& facts,
                                  std::vector<finding>& findings) const {
  const std::string& id = facts.request.id;
  if (!facts.request.may_repeat && facts.runs.size() > 1) {
    findings.push_back(
        {rule::kTwice,
         id + " ran " + std::to_string(facts.runs.size()) + " times"});
  }
  const bool is_refused =
      facts.end == request_end::kAnswered && IsRefusal(facts.status);
  if (!facts.request.may_repeat && is_refused && !facts.runs.empty()) {
    findings.push_back(
        {rule::kRefused,
         id + " got " + std::to_string(facts.status) + " and ran"});
  }
  const bool is_unanswered =
      !facts.end && soak_clock::now() > facts.sent_at + kLongestWait &&
      !IsDisrupted(facts.request.node, facts.sent_at, soak_clock::now());
  if (is_unanswered) {
    findings.push_back({rule::kUnanswered, id});
  }
  JudgeDrain(facts, findings);
}

std::vector<finding> traffic_record::Judge() const {
  const std::lock_guard lock(mutex_);
  std::vector<finding> findings = found_;
  for (const auto& [id, problem] : problems_) {
    std::string text = id;
    text.append(": ").append(problem);
    findings.push_back({rule::kMixed, std::move(text)});
  }
  std::vector<finding> losses;
  std::vector<finding> denials;
  bool has_planned_loss = false;
  for (const auto& [id, facts] : requests_) {
    JudgeRequest(facts, findings);
    bool is_planned = false;
    if (IsLost(facts, is_planned)) {
      has_planned_loss |= is_planned;
      losses.push_back({rule::kLost, id + (is_planned ? " in a stop" : "")});
    }
    if (facts.end == request_end::kAnswered && IsDenial(facts.status)) {
      denials.push_back(
          {rule::kDenied, id + " got " + std::to_string(facts.status)});
    }
  }
  if (has_planned_loss || losses.size() > kToleratedLosses) {
    findings.insert(findings.end(), losses.begin(), losses.end());
  }
  if (denials.size() >
      kToleratedDenials + requests_.size() / kRequestsPerDenial) {
    findings.insert(findings.end(), denials.begin(), denials.end());
  }
  return findings;
}

std::string traffic_record::Summary() const {
  const std::lock_guard lock(mutex_);
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t closed = 0;
  std::size_t left = 0;
  std::size_t open = 0;
  for (const auto& [id, facts] : requests_) {
    open += facts.end ? 0 : 1;
    closed += facts.end == request_end::kClosed ? 1 : 0;
    left += facts.end == request_end::kLeft ? 1 : 0;
    if (facts.end == request_end::kAnswered) {
      ++(facts.status < 300 ? served : refused);
    }
  }
  return std::to_string(requests_.size()) + " requests, " +
         std::to_string(served) + " served, " + std::to_string(refused) +
         " failed, " + std::to_string(closed) + " closed, " +
         std::to_string(left) + " given up, " + std::to_string(open) +
         " open, " + std::to_string(runs_.size()) + " runs, " +
         std::to_string(disruptions_.size()) + " disruptions";
}

}  // namespace auburnfold::soak
