#include "LibRuntime/Observability/decision_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>

#include "LibDecision/hash.h"
#include "LibRuntime/Requests/hexadecimal.h"

namespace auburnfold {

namespace json = boost::json;

namespace {

/// Routine records are logged for one in this many root requests.
constexpr std::uint64_t kSamplingInterval = 64;
/// Applies to each kind of record.
constexpr std::uint32_t kMaxLinesPerSecond = 25;

log4cplus::Logger Log() {
  static const log4cplus::Logger kLogger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("auburnfold.decision"));
  return kLogger;
}

double ToMilliseconds(duration value) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(value).count();
  return static_cast<double>(microseconds) / 1000;
}

/// Adds fields to a JSON object and skips those that the record leaves unset.
class optional_field_writer {
 public:
  explicit optional_field_writer(json::object& line) : line_(line) {}

  void Add(std::string_view name, std::string_view text) {
    if (!text.empty()) {
      line_[name] = text;
    }
  }

  void Add(std::string_view name, const std::optional<std::uint32_t>& number) {
    if (number) {
      line_[name] = *number;
    }
  }

  void Add(std::string_view name, const std::optional<request_rate>& rate) {
    if (rate) {
      line_[name] = rate->value();
    }
  }

  void Add(std::string_view name, const std::optional<duration>& value) {
    if (value) {
      line_[name] = ToMilliseconds(*value);
    }
  }

  template <class tag>
  void Add(std::string_view name,
           const std::optional<strong_value<tag, std::uint64_t>>& id) {
    if (id) {
      line_[name] = id->value();
    }
  }

 private:
  json::object& line_;
};

json::object ToJson(const decision_record& record) {
  json::object line;
  optional_field_writer fields(line);
  fields.Add("event", NameOf(record.kind));
  fields.Add("request", record.request.value());
  if (record.root != record.request) {
    fields.Add("root", record.root.value());
  }
  fields.Add("service", record.service.value());
  fields.Add("class", record.request_class.value());
  fields.Add("digest",
             record.digest ? ToHexadecimal(record.digest->value()) : "");
  fields.Add("endpoint", record.endpoint.value());
  fields.Add("node", record.node);
  fields.Add("run", record.run);
  fields.Add("error", record.error ? TraitsOf(*record.error).name : "");
  fields.Add("ran", record.execution ? NameOf(*record.execution) : "");
  fields.Add("retry", record.retry ? NameOf(*record.retry) : "");
  fields.Add("routes", record.routes);
  fields.Add("source", record.source ? NameOf(*record.source) : "");
  fields.Add("revision", record.revision);
  fields.Add("era", record.era);
  fields.Add("age_ms", record.age);
  fields.Add("time_left_ms", record.time_left);
  fields.Add("waited_ms", record.waited);
  fields.Add("retry_after_ms", record.retry_after);
  fields.Add("attempt", record.attempt);
  fields.Add("priority", record.priority);
  fields.Add("level", record.level);
  fields.Add("running", record.running);
  fields.Add("queued", record.queued);
  fields.Add("limit", record.limit);
  fields.Add("rate", record.rate);
  fields.Add("candidates", record.candidates);
  fields.Add("evidence", record.evidence ? NameOf(*record.evidence) : "");
  if (record.is_stopping) {
    line["stopping"] = true;
  }
  fields.Add("state", record.state);
  fields.Add("tenant", record.tenant.value());
  fields.Add("basis", record.basis ? NameOf(*record.basis) : "");
  if (record.config) {
    fields.Add("field", NameOf(record.config->field));
    fields.Add("value", record.config->value);
  }
  if (record.entry) {
    fields.Add("key", record.entry->key);
    fields.Add("field", record.entry->field);
  }
  return line;
}

void WriteLine(const json::object& line) {
  LOG4CPLUS_INFO(Log(), json::serialize(line));
}

}  // namespace

void decision_log::Write(const decision_record& record) {
  const bool is_sampled =
      StableHash(record.root.value()) % kSamplingInterval == 0;
  if (IsRoutine(record.kind) && !is_sampled) {
    return;
  }
  const clock::time_point now = clock::now();
  if (now >= window_end_) {
    StartWindow(now);
  }
  line_budget& budget = budgets_[static_cast<std::size_t>(record.kind)];
  if (budget.written >= kMaxLinesPerSecond) {
    ++budget.suppressed;
    return;
  }
  ++budget.written;
  WriteLine(ToJson(record));
}

void decision_log::StartWindow(clock::time_point now) {
  window_end_ = now + std::chrono::seconds(1);
  for (std::size_t i = 0; i < kDecisionKindCount; ++i) {
    if (budgets_[i].suppressed > 0) {
      WriteLine({{"event", "lines_left_out"},
                 {"of", NameOf(static_cast<decision_kind>(i))},
                 {"count", budgets_[i].suppressed}});
    }
    budgets_[i] = {};
  }
}

}  // namespace auburnfold
