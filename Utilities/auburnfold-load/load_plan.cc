#include "auburnfold-load/load_plan.h"

#include <boost/json/parse.hpp>

#include "auburnfold-load/plan_reader.h"

namespace auburnfold {

namespace {

using milliseconds = std::chrono::milliseconds;

constexpr double kMostMilliseconds = 600'000;
constexpr double kMostSeconds = 3600;
constexpr double kMostRate = 1'000'000;
constexpr double kMostCallers = 10'000;
constexpr double kMostBodyBytes = 1'000'000;
constexpr double kMostTries = 16;
constexpr double kMostSeed = 1e15;

milliseconds ReadMilliseconds(plan_reader& reader,
                              const char* name,
                              milliseconds fallback,
                              double low) {
  return milliseconds(static_cast<std::int64_t>(reader.Number(
      name, static_cast<double>(fallback.count()), low, kMostMilliseconds)));
}

client_retries ReadRetries(plan_reader& reader) {
  client_retries retries;
  retries.tries =
      static_cast<std::uint32_t>(reader.Number("tries", 1, 1, kMostTries));
  retries.backoff = ReadMilliseconds(reader, "backoff_ms", retries.backoff, 0);
  retries.is_hard = reader.Flag("hard", false);
  retries.is_marked = reader.Flag("marked", true);
  return retries;
}

load_class ReadClass(plan_reader& reader) {
  load_class read;
  read.service = reader.Text("service", "");
  read.request_class = reader.Text("class", "");
  if (read.service.empty() || read.request_class.empty()) {
    reader.Fail("service and class", "are required");
  }
  read.name = reader.Text("name", read.service + "/" + read.request_class);
  read.tenants = reader.Texts("tenants");
  if (read.tenants.empty()) {
    read.tenants = {"default"};
  }
  read.timeout = ReadMilliseconds(reader, "timeout_ms", read.timeout, 1);
  read.share = reader.Number("share", read.share, 0, 1);
  read.body_bytes = static_cast<std::uint32_t>(
      reader.Number("body_bytes", read.body_bytes, 0, kMostBodyBytes));
  read.is_idempotent = reader.Flag("idempotent", read.is_idempotent);
  read.uses_key = reader.Flag("issued_key", read.uses_key);
  return read;
}

load_path ReadPath(plan_reader& reader) {
  const std::string path = reader.Text("path", "node");
  if (path == "node") {
    return load_path::kNode;
  }
  if (path == "direct") {
    return load_path::kDirect;
  }
  reader.Fail("path", "is not node or direct");
}

load_phase ReadPhase(plan_reader& reader) {
  constexpr double kMillisecondsPerSecond = 1000;
  load_phase phase;
  phase.name = reader.Text("name", "phase");
  phase.length = milliseconds(static_cast<std::int64_t>(
      kMillisecondsPerSecond * reader.Number("seconds", 1, 0.1, kMostSeconds)));
  phase.rate = reader.Number("rate", 0, 0, kMostRate);
  phase.callers =
      static_cast<std::uint32_t>(reader.Number("callers", 0, 0, kMostCallers));
  phase.path = ReadPath(reader);
  phase.is_surge = reader.Flag("surge", false);
  return phase;
}

}  // namespace

load_plan ParseLoadPlan(std::string_view text, const std::string& file) {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  const boost::json::value parsed =
      boost::json::parse({text.data(), text.size()}, error, {}, options);
  if (error) {
    throw plan_error(file + ": is not JSON with comments: " + error.message());
  }
  plan_reader reader(parsed, file);
  load_plan plan;
  plan.seed =
      static_cast<std::uint64_t>(reader.Number("seed", 1, 0, kMostSeed));
  plan.nodes = reader.Addresses("nodes");
  plan.direct = reader.Addresses("direct");
  reader.Object("retries",
                [&](plan_reader& inner) { plan.retries = ReadRetries(inner); });
  reader.Objects("classes", [&](plan_reader& inner) {
    plan.classes.push_back(ReadClass(inner));
  });
  reader.Objects("phases", [&](plan_reader& inner) {
    plan.phases.push_back(ReadPhase(inner));
  });
  reader.RefuseOthers();
  if (plan.classes.empty() || plan.phases.empty()) {
    reader.Fail("classes and phases", "need at least one entry each");
  }
  return plan;
}

void CheckServers(const load_plan& plan) {
  for (const load_phase& phase : plan.phases) {
    if (phase.path == load_path::kNode && plan.nodes.empty()) {
      throw plan_error("nodes: is empty, and phase " + phase.name +
                       " needs it");
    }
    if (phase.path == load_path::kDirect && plan.direct.empty()) {
      throw plan_error("direct: is empty, and phase " + phase.name +
                       " needs it");
    }
  }
}

}  // namespace auburnfold
