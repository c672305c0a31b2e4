#include "control_fleet.h"

#include <algorithm>
#include <variant>

#include "LibDecision/hash.h"
#include "LibWire/cbor_codec.h"

namespace auburnfold {

namespace {

using std::chrono::microseconds;

constexpr std::uint16_t kFirstPort = 10000;
constexpr std::size_t kDomainCount = 3;
constexpr std::uint64_t kShortestDelayUs = 500;
constexpr std::uint64_t kDelaySpreadUs = 2500;

}  // namespace

node_address AddressOf(std::size_t index) {
  return {"10.0.0.1", 9000, static_cast<std::uint16_t>(kFirstPort + index)};
}

edit_row EditOfLookup(std::uint64_t expected, const std::string& change) {
  edit_row edit;
  edit.service = service_name("listings");
  edit.request_class = class_name("lookup");
  edit.expected = row_version(expected);
  edit.change = change_id(change);
  edit.author = "test";
  return edit;
}

control_fleet::control_fleet(std::uint64_t seed, std::size_t node_count)
    : entropy_(MixBits(seed + kGoldenGamma)) {
  for (std::size_t index = 0; index < node_count; ++index) {
    nodes_.push_back(std::make_unique<node>());
  }
}

void control_fleet::Start(std::size_t index,
                          const std::vector<std::size_t>& seeds) {
  node& started = *nodes_[index];
  started.timers = timer_service();
  started.rows = std::make_unique<policy_table>();
  started.members =
      std::make_unique<membership>(*started.rows, discovery_mode::kGossip);
  started.is_running = true;
  started.is_paused = false;
  started.wake.reset();
  started.held.clear();
  started.versions.clear();
  ++started.generation;
  node_started self{
      .node = node_id(MixBits(index + 1)),
      .run = incarnation(next_run_++),
      .address = AddressOf(index),
      .domain = domain_name("d" + std::to_string(index % kDomainCount))};
  for (const std::size_t seed : seeds) {
    self.seeds.push_back(AddressOf(seed));
  }
  Act(index, [&self](event_context& context, node& own) {
    own.members->Start(context, self);
    own.rows->Start(context);
    own.members->OnEndpointReported(context,
                                    {.service = service_name("listings")});
  });
}

void control_fleet::StartAll() {
  for (std::size_t index = 0; index < size(); ++index) {
    Start(index);
  }
}

void control_fleet::Kill(std::size_t index) {
  nodes_[index]->is_running = false;
  ++nodes_[index]->generation;
}

void control_fleet::Stop(std::size_t index) {
  Act(index, [](event_context& context, node& own) {
    own.members->OnStopRequested(context);
  });
  Act(index, [](event_context& context, node& own) {
    own.members->OnStopped(context);
  });
  Kill(index);
}

void control_fleet::Pause(std::size_t index) {
  nodes_[index]->is_paused = true;
}

void control_fleet::Resume(std::size_t index) {
  node& resumed = *nodes_[index];
  resumed.is_paused = false;
  for (const auto& run : std::exchange(resumed.held, {})) {
    run();
  }
}

void control_fleet::RunFor(duration length) {
  RunUntil([] { return false; }, length);
}

duration control_fleet::RunUntil(const std::function<bool()>& is_done,
                                 duration longest) {
  const instant start = now_;
  const instant end = now_ + longest;
  while (!is_done() && !queue_.empty() && queue_.top().when <= end) {
    const due next = queue_.top();
    queue_.pop();
    now_ = next.when;
    next.run();
  }
  if (!is_done()) {
    now_ = end;
  }
  return now_ - start;
}

void control_fleet::Edit(std::size_t index, const edit_row& edit) {
  const admin_call_id call(++admin_calls_);
  open_edits_[call.value()] = edit.change.value();
  Act(index, [&](event_context& context, node& own) {
    own.rows->OnAdminRequested(context, {call, edit});
  });
}

std::optional<admin_result> control_fleet::AnswerTo(
    const std::string& change) const {
  const auto found = answers_.find(change);
  return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

const membership& control_fleet::members(std::size_t index) const {
  return *nodes_[index]->members;
}

const policy_table& control_fleet::rows(std::size_t index) const {
  return *nodes_[index]->rows;
}

bool control_fleet::is_running(std::size_t index) const {
  return nodes_[index]->is_running;
}

std::size_t control_fleet::ReadyCount(std::size_t index) const {
  return members(index).ReadyEndpoints(service_name("listings")).size();
}

bool control_fleet::AllSeeReady(std::size_t count) const {
  for (std::size_t index = 0; index < size(); ++index) {
    if (is_running(index) && ReadyCount(index) != count) {
      return false;
    }
  }
  return true;
}

bool control_fleet::AllHoldVersion(const service_name& service,
                                   const class_name& request_class,
                                   std::uint64_t version) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& each) {
    if (!each->is_running) {
      return true;
    }
    const table_row* row = each->rows->rows().Find(service, request_class);
    return row != nullptr && row->version == row_version(version);
  });
}

std::uint64_t control_fleet::CountOf(counter which) const {
  const auto found = counts_.find(which);
  return found == counts_.end() ? 0 : found->second;
}

void control_fleet::At(instant when, std::function<void()> run) {
  queue_.push({when, ++order_, std::move(run)});
}

void control_fleet::Later(std::size_t index,
                          duration delay,
                          const action& act) {
  const std::uint64_t generation = nodes_[index]->generation;
  At(now_ + delay, [=, this] {
    node& own = *nodes_[index];
    if (own.generation != generation) {
      return;
    }
    if (own.is_paused) {
      own.held.push_back([=, this] { Act(index, act); });
      return;
    }
    Act(index, act);
  });
}

void control_fleet::Act(std::size_t index, const action& act) {
  node& own = *nodes_[index];
  if (!own.is_running) {
    return;
  }
  event_context context(now_, Random(), own.timers);
  while (const auto due = own.timers.PopDue(now_)) {
    if (due->owner == timer_owner::kMembership) {
      own.members->OnTimer(context, due->key);
    } else {
      own.rows->OnTimer(context, due->key);
    }
  }
  act(context, own);
  own.members->BroadcastChanges(context);
  WatchVersions(own);
  for (const effect& made : context.TakeEffects()) {
    Perform(index, made);
  }
  const auto next = own.timers.next_due();
  const bool is_wake_needed =
      next && (!own.wake || *own.wake <= now_ || *next < *own.wake);
  if (is_wake_needed) {
    own.wake = next;
    Later(index, *next - now_, [](event_context&, node&) {});
  }
}

void control_fleet::Perform(std::size_t index, const effect& made) {
  if (const auto* sent = std::get_if<send_message>(&made)) {
    return Deliver(index, *sent);
  }
  if (const auto* wanted = std::get_if<call_store>(&made)) {
    return CallStore(index, *wanted);
  }
  if (const auto* count = std::get_if<increment_counter>(&made)) {
    counts_[count->which] += count->amount;
    return;
  }
  if (const auto* answer = std::get_if<answer_admin>(&made)) {
    answers_[open_edits_.at(answer->call.value())] = answer->result;
    open_edits_.erase(answer->call.value());
  }
}

void control_fleet::Deliver(std::size_t from, const send_message& sent) {
  bytes_sent_ += cbor_codec::Encode(sent.message).size();
  const std::size_t to = sent.to.control_port - kFirstPort;
  const bool is_lost = cut_ && cut_(from, to);
  if (is_lost || !is_running(to)) {
    return;
  }
  const microseconds delay(kShortestDelayUs + Random() % kDelaySpreadUs);
  Later(to, delay, [message = sent.message](event_context& context, node& own) {
    own.members->OnMessage(context, message);
    if (const auto* update = std::get_if<row_update>(&message.content)) {
      for (const table_row& row : update->rows) {
        own.rows->ApplyIfNewer(context, row);
      }
    }
  });
}

// The request takes effect half way, so that racing writes interleave.
void control_fleet::CallStore(std::size_t index, const call_store& wanted) {
  const microseconds jitter(Random() % kDelaySpreadUs);
  const std::uint64_t generation = nodes_[index]->generation;
  At(now_ + store_delay_ / 2 + jitter, [=, this] {
    if (nodes_[index]->generation != generation) {
      return;
    }
    store.Call(wanted.request, [=, this](const store_result& result) {
      Later(index, store_delay_ / 2, [=](event_context& context, node& own) {
        own.members->OnStoreAnswered(context, {wanted.call, result});
        own.rows->OnStoreAnswered(context, {wanted.call, result});
      });
    });
  });
}

void control_fleet::WatchVersions(node& each) {
  for (const table_row& row : each.rows->rows().All()) {
    std::uint64_t& seen =
        each.versions[row.service.value() + "/" + row.request_class.value()];
    older_states_ += row.version.value() < seen ? 1 : 0;
    seen = row.version.value();
  }
}

std::uint64_t control_fleet::Random() {
  entropy_ += kGoldenGamma;
  return MixBits(entropy_);
}

}  // namespace auburnfold
