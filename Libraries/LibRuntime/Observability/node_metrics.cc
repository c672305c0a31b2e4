#include "LibRuntime/Observability/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>

#include "LibRuntime/Observability/labelled_histograms.h"

namespace auburnfold {

namespace {

std::string_view NameOf(runtime_counter which) {
  switch (which) {
    case runtime_counter::kMessagesLost:
      return "control_messages_lost";
    case runtime_counter::kMessagesReceived:
      return "control_messages_received";
    case runtime_counter::kMessagesRejected:
      return "control_messages_rejected";
    case runtime_counter::kBytesSent:
      return "control_bytes_sent";
    case runtime_counter::kBytesReceived:
      return "control_bytes_received";
    case runtime_counter::kConnectionsAccepted:
      return "connections_accepted";
    case runtime_counter::kAcceptFailures:
      return "accept_failures";
    case runtime_counter::kAnswersUndelivered:
      return "answers_undelivered";
    case runtime_counter::kCallsPipelined:
      return "calls_pipelined";
    case runtime_counter::kEffectsFailed:
      return "effects_failed";
  }
  return "unknown";
}

prometheus::Counter& MakeCounter(prometheus::Registry& registry,
                                 std::string_view name) {
  return prometheus::BuildCounter()
      .Name("auburnfold_" + std::string(name) + "_total")
      .Register(registry)
      .Add({});
}

prometheus::Gauge& MakeGauge(prometheus::Registry& registry,
                             const std::string& name,
                             const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

struct node_metrics::impl {
  explicit impl(std::size_t label_limit)
      : calls_in_flight(MakeGauge(registry,
                                  "auburnfold_calls_in_flight",
                                  "Calls that are not yet answered.")),
        work_items_in_flight(
            MakeGauge(registry,
                      "auburnfold_works_in_flight",
                      "Forwarded requests running or queued here.")),
        longest_pipeline(MakeGauge(registry,
                                   "auburnfold_longest_pipeline",
                                   "Most requests of one connection that were "
                                   "unanswered at once.")),
        call_seconds_by_class(registry,
                              "auburnfold_call_seconds",
                              "Time to the whole answer of a call, by class.",
                              "class",
                              label_limit),
        call_seconds_by_tenant(registry,
                               "auburnfold_tenant_call_seconds",
                               "Time to the whole answer of a call, by tenant.",
                               "tenant",
                               label_limit),
        work_seconds_by_class(
            registry,
            "auburnfold_work_seconds",
            "Time to the whole answer of a forwarded request.",
            "class",
            label_limit),
        queue_wait_seconds_by_class(
            registry,
            "auburnfold_queue_wait_seconds",
            "Time from arrival to the start at the endpoint.",
            "class",
            label_limit),
        loop_delay_seconds(prometheus::BuildHistogram()
                               .Name("auburnfold_loop_delay_seconds")
                               .Help("Time that the event loop runs late.")
                               .Register(registry)
                               .Add({}, BucketBoundariesInSeconds())) {
    for (std::size_t i = 0; i < kCounterCount; ++i) {
      counters[i] = &MakeCounter(registry, NameOf(static_cast<counter>(i)));
    }
    for (std::size_t i = 0; i < kRuntimeCounterCount; ++i) {
      runtime_counters[i] =
          &MakeCounter(registry, NameOf(static_cast<runtime_counter>(i)));
    }
    auto& errors_family =
        prometheus::BuildCounter()
            .Name("auburnfold_errors_total")
            .Help("Answers other than whole ones, by error kind.")
            .Register(registry);
    for (std::size_t i = 0; i < kErrorKindCount; ++i) {
      const std::string_view name = TraitsOf(static_cast<error_kind>(i)).name;
      errors[i] = &errors_family.Add({{"kind", std::string(name)}});
    }
    auto& unread_family =
        prometheus::BuildCounter()
            .Name("auburnfold_config_fields_unread_total")
            .Help("Parts of decoded routes that are not understood.")
            .Register(registry);
    for (std::size_t i = 0; i < kConfigFieldCount; ++i) {
      const std::string_view name =
          auburnfold::NameOf(static_cast<config_field>(i));
      unread_fields[i] = &unread_family.Add({{"field", std::string(name)}});
    }
  }

  prometheus::Registry registry;
  std::array<prometheus::Counter*, kCounterCount> counters{};
  std::array<prometheus::Counter*, kRuntimeCounterCount> runtime_counters{};
  std::array<prometheus::Counter*, kErrorKindCount> errors{};
  std::array<prometheus::Counter*, kConfigFieldCount> unread_fields{};
  prometheus::Gauge& calls_in_flight;
  prometheus::Gauge& work_items_in_flight;
  prometheus::Gauge& longest_pipeline;
  labelled_histograms call_seconds_by_class;
  labelled_histograms call_seconds_by_tenant;
  labelled_histograms work_seconds_by_class;
  labelled_histograms queue_wait_seconds_by_class;
  prometheus::Histogram& loop_delay_seconds;
};

node_metrics::node_metrics(std::size_t label_limit)
    : impl_(std::make_unique<impl>(label_limit)) {}
node_metrics::~node_metrics() = default;

void node_metrics::Count(counter which, std::uint64_t amount) {
  impl_->counters[static_cast<std::size_t>(which)]->Increment(
      static_cast<double>(amount));
}

void node_metrics::Count(runtime_counter which, std::uint64_t amount) {
  impl_->runtime_counters[static_cast<std::size_t>(which)]->Increment(
      static_cast<double>(amount));
}

void node_metrics::CountError(error_kind kind) {
  impl_->errors[static_cast<std::size_t>(kind)]->Increment();
}

void node_metrics::CountUnreadField(config_field field) {
  impl_->unread_fields[static_cast<std::size_t>(field)]->Increment();
}

void node_metrics::ObserveCall(const class_name& request_class,
                               const tenant_name& tenant,
                               elapsed latency) {
  impl_->call_seconds_by_class.Observe(request_class.value(), latency);
  impl_->call_seconds_by_tenant.Observe(tenant.value(), latency);
}

void node_metrics::ObserveWork(const class_name& request_class,
                               elapsed latency) {
  impl_->work_seconds_by_class.Observe(request_class.value(), latency);
}

void node_metrics::ObserveQueueWait(const class_name& request_class,
                                    elapsed waited) {
  impl_->queue_wait_seconds_by_class.Observe(request_class.value(), waited);
}

void node_metrics::ObserveLoopDelay(elapsed delay) {
  impl_->loop_delay_seconds.Observe(
      std::chrono::duration<double>(delay).count());
}

void node_metrics::ObservePipelining(std::size_t unanswered_before) {
  if (unanswered_before == 0) {
    return;
  }
  Count(runtime_counter::kCallsPipelined);
  const auto depth = static_cast<double>(unanswered_before + 1);
  impl_->longest_pipeline.Set(std::max(impl_->longest_pipeline.Value(), depth));
}

std::string node_metrics::ToPrometheusText(std::size_t open_calls,
                                           std::size_t open_work_items) {
  impl_->calls_in_flight.Set(static_cast<double>(open_calls));
  impl_->work_items_in_flight.Set(static_cast<double>(open_work_items));
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace auburnfold
