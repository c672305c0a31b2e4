#include "uneven_endpoints.h"

#include <algorithm>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Table/policy_table.h"

namespace auburnfold {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kSenders = 12;
constexpr duration kNetworkDelay = 1ms;
constexpr duration kNoisePeriod = 600ms;

}  // namespace

double uneven_endpoints::result::spread() const {
  const auto [least, most] =
      std::minmax_element(utilization.begin(), utilization.end());
  return *most - *least;
}

struct uneven_endpoints::impl {
  struct request {
    std::size_t sender = 0;
    std::size_t endpoint = 0;
    instant sent;
    request_metadata metadata;
    double work_ns = 0;
  };
  struct endpoint {
    endpoint_traits traits;
    admission_controller admission{limit_mode::kAnnounced};
    std::uint32_t running = 0;
    std::deque<work_id> waiting;
    double busy_ns = 0;
  };
  struct sender {
    explicit sender(const membership& members) : routing(members) {}
    router routing;
  };

  impl(std::vector<endpoint_traits> traits, bool plans) {
    event_context context(now, 1, timers);
    members.Start(context, {.node = node_id(1000),
                            .run = incarnation(1),
                            .domain = domain_name("d")});
    for (std::size_t i = 0; i < traits.size(); ++i) {
      endpoints.push_back(std::make_unique<endpoint>());
      endpoints[i]->traits = traits[i];
      endpoints[i]->admission.set_plans(plans);
      endpoint_reported report;
      report.slots = traits[i].announced;
      report.run = incarnation(1);
      endpoints[i]->admission.OnEndpointReported(context, report);
      members.ApplyIfNewer(context, {.node = node_id(i + 1),
                                     .run = incarnation(1),
                                     .domain = domain_name("d"),
                                     .service = service_name("s"),
                                     .slots = traits[i].announced});
    }
    for (std::size_t i = 0; i < kSenders; ++i) {
      senders.push_back(std::make_unique<sender>(members));
      senders[i]->routing.set_plans(plans);
    }
  }

  void At(instant when, std::function<void()> action) {
    events.emplace(when, std::move(action));
  }

  void RunUntil(instant end) {
    while (!events.empty() && events.begin()->first <= end) {
      now = events.begin()->first;
      const auto action = std::move(events.begin()->second);
      events.erase(events.begin());
      action();
    }
    now = end;
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  void Arrive(double mean_work_ns) {
    request sent{.sender = random() % kSenders, .sent = now};
    const bool is_long = random() % 2 == 0;
    sent.metadata.request_class = class_name(is_long ? "long" : "short");
    sent.metadata.time_left = 5s;
    sent.metadata.objective = 1s;
    sent.work_ns = mean_work_ns * (is_long ? 1.8 : 0.2) * (0.5 + Uniform());
    event_context context(now, random(), timers);
    router& routing = senders[sent.sender]->routing;
    const member_record* chosen =
        routing.Choose(context, service_name("s"), {});
    ++current.offered;
    if (chosen == nullptr) {
      ++current.refused;
      return;
    }
    sent.endpoint = chosen->node.value() - 1;
    routing.OnSent(context, *chosen, sent.metadata.request_class);
    const work_id id(next_work++);
    sent.metadata.root = request_id(std::to_string(id.value()));
    requests[id] = sent;
    At(now + kNetworkDelay, [this, id] { Offer(id); });
  }

  void Offer(work_id id) {
    const request& offered = requests.at(id);
    event_context context(now, random(), timers);
    Apply(offered.endpoint, endpoints[offered.endpoint]->admission.Offer(
                                context, id, offered.metadata, row));
  }

  void Apply(std::size_t index,
             const std::vector<admission_decision>& decisions) {
    endpoint& target = *endpoints[index];
    for (const admission_decision& decision : decisions) {
      if (decision.refusal) {
        Answer(decision.work, *decision.refusal);
      } else if (Uniform() < target.traits.refused_fraction) {
        At(now + kNetworkDelay, [this, id = decision.work] {
          Finish(id,
                 {error_kind::kEndpointBusy, execution_state::kNotExecuted});
        });
      } else {
        target.waiting.push_back(decision.work);
      }
    }
    TakeSlots(target);
  }

  void TakeSlots(endpoint& target) {
    const endpoint_traits& traits = target.traits;
    while (target.running < traits.slots && !target.waiting.empty()) {
      const work_id id = target.waiting.front();
      target.waiting.pop_front();
      ++target.running;
      double factor = traits.slowdown / traits.speed;
      factor *=
          target.running >= traits.knee * traits.slots ? traits.knee_factor : 1;
      const auto stretch =
          static_cast<std::uint64_t>(now.time_since_epoch() / kNoisePeriod);
      const double draw =
          static_cast<double>(MixBits(stretch * 64 + requests.at(id).endpoint) %
                              1000) /
          1000;
      factor *= draw < traits.noise ? traits.noise_factor : 1;
      factor *= now < instant(traits.cold_for) ? 2 : 1;
      const double time_ns = requests.at(id).work_ns * factor;
      target.busy_ns += time_ns;
      At(now + duration(static_cast<duration::rep>(time_ns)),
         [this, id] { Finish(id, {}); });
    }
  }

  void Finish(work_id id, const outcome& result) {
    const std::size_t index = requests.at(id).endpoint;
    if (result.is_complete()) {
      --endpoints[index]->running;
    }
    event_context context(now, random(), timers);
    const auto decisions =
        endpoints[index]->admission.OnFinished(context, id, result);
    Answer(id, result.error);
    Apply(index, decisions);
  }

  void Answer(work_id id, std::optional<error_kind> error) {
    outcome result;
    result.error = error;
    result.execution =
        error ? execution_state::kNotExecuted : execution_state::kExecuted;
    result.peer = answer_metadata();
    const request& answered = requests.at(id);
    endpoints[answered.endpoint]->admission.DescribeLoad(now, answered.metadata,
                                                         *result.peer);
    At(now + kNetworkDelay, [this, id, result] { Return(id, result); });
  }

  void Return(work_id id, const outcome& result) {
    const request& returned = requests.at(id);
    event_context context(now, random(), timers);
    senders[returned.sender]->routing.OnFinished(
        context, node_id(returned.endpoint + 1), result, now - returned.sent,
        false, {service_name("s"), returned.metadata.request_class});
    ++(result.is_complete() ? current.served : current.refused);
    current.mean_ms +=
        result.is_complete()
            ? std::chrono::duration<double, std::milli>(now - returned.sent)
                  .count()
            : 0;
    requests.erase(id);
  }

  void ExpireQueues() {
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      event_context context(now, random(), timers);
      Apply(i, endpoints[i]->admission.OnTimer(context, 0));
    }
  }

  instant now{};
  timer_service timers;
  policy_table rows;
  row_settings row;
  membership members{rows, discovery_mode::kGossip};
  std::vector<std::unique_ptr<endpoint>> endpoints;
  std::vector<std::unique_ptr<sender>> senders;
  std::unordered_map<work_id, request> requests;
  std::multimap<instant, std::function<void()>> events;
  std::mt19937_64 random{7};
  std::uint64_t next_work = 1;
  result current;
};

uneven_endpoints::uneven_endpoints(std::vector<endpoint_traits> traits,
                                   bool plans)
    : impl_(std::make_unique<impl>(std::move(traits), plans)) {}
uneven_endpoints::~uneven_endpoints() = default;

endpoint_traits& uneven_endpoints::traits(std::size_t endpoint) {
  return impl_->endpoints[endpoint]->traits;
}

std::uint32_t uneven_endpoints::limit(std::size_t endpoint) const {
  return impl_->endpoints[endpoint]->admission.limit();
}

double uneven_endpoints::IdealRate(duration work) const {
  double rate = 0;
  for (const auto& endpoint : impl_->endpoints) {
    const endpoint_traits& traits = endpoint->traits;
    const double usable = std::min(1.0, traits.knee) * traits.slots;
    const double noise = 1 + traits.noise * (traits.noise_factor - 1);
    rate += usable * traits.speed / (noise * traits.slowdown) /
            std::chrono::duration<double>(work).count() *
            (1 - traits.refused_fraction);
  }
  return rate;
}

uneven_endpoints::result uneven_endpoints::Send(double rate,
                                                duration work,
                                                duration length) {
  impl& all = *impl_;
  all.current = {};
  for (auto& endpoint : all.endpoints) {
    endpoint->busy_ns = 0;
  }
  const instant start = all.now;
  const instant end = start + length;
  std::exponential_distribution<double> gap(rate / 1e9);
  for (instant next = start; next < end;
       next += duration(static_cast<duration::rep>(gap(all.random)))) {
    all.At(next,
           [&all, work] { all.Arrive(static_cast<double>(work.count())); });
  }
  for (instant next = start; next < end; next += 5ms) {
    all.At(next, [&all] { all.ExpireQueues(); });
  }
  all.RunUntil(end);
  result done = all.current;
  done.mean_ms /= static_cast<double>(std::max<std::uint64_t>(done.served, 1));
  for (const auto& endpoint : all.endpoints) {
    done.utilization.push_back(endpoint->busy_ns /
                               static_cast<double>(length.count()) /
                               endpoint->traits.slots);
  }
  return done;
}

}  // namespace auburnfold
