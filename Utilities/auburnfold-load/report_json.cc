#include <boost/json/array.hpp>

#include "auburnfold-load/report_writers.h"

namespace auburnfold {

namespace {

double Milliseconds(std::chrono::microseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

boost::json::object TallyJson(const call_tally& tally) {
  boost::json::object json;
  json["sent"] = tally.sent();
  for (std::size_t i = 0; i < kCallOutcomeCount; ++i) {
    json[kCallOutcomeNames[i]] = tally.of(static_cast<call_outcome>(i));
  }
  json["retries"] = tally.retries();
  json["goodput_share"] = tally.goodput_share();
  json["p50_ms"] = Milliseconds(tally.latency().Quantile(0.5));
  json["p99_ms"] = Milliseconds(tally.latency().Quantile(0.99));
  json["p999_ms"] = Milliseconds(tally.latency().Quantile(0.999));
  return json;
}

boost::json::value RecoveryJson(
    std::optional<std::chrono::milliseconds> recovery) {
  if (!recovery) {
    return nullptr;
  }
  return std::chrono::duration<double>(*recovery).count();
}

// By surge phase, then by class; seconds, or null if it was not seen.
boost::json::object RecoveriesJson(const load_report& report) {
  boost::json::object json;
  for (const surge_window& surge : report.surges()) {
    boost::json::object classes;
    for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
      classes[report.plan().classes[i].name] =
          RecoveryJson(report.Recovery(surge, i));
    }
    classes["all"] = RecoveryJson(report.Recovery(surge));
    json[surge.phase] = classes;
  }
  return json;
}

boost::json::object PhaseJson(const load_report& report, std::size_t phase) {
  boost::json::object json;
  json["name"] = report.plan().phases[phase].name;
  json["path"] =
      report.plan().phases[phase].path == load_path::kNode ? "node" : "direct";
  boost::json::object classes;
  for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
    classes[report.plan().classes[i].name] =
        TallyJson(report.of_phase(phase, i));
  }
  json["classes"] = classes;
  return json;
}

boost::json::object SecondJson(const load_report& report, std::size_t second) {
  boost::json::object classes;
  for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
    classes[report.plan().classes[i].name] =
        TallyJson(report.of_second(second, i));
  }
  return classes;
}

}  // namespace

boost::json::object ReportJson(const load_report& report) {
  boost::json::object json;
  json["total"] = TallyJson(report.total(load_path::kNode));
  json["direct"] = TallyJson(report.total(load_path::kDirect));
  json["recoveries"] = RecoveriesJson(report);
  json["send_delay_p99_ms"] = Milliseconds(report.send_delay().Quantile(0.99));
  boost::json::object classes;
  for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
    classes[report.plan().classes[i].name] =
        TallyJson(report.of_class(i, load_path::kNode));
  }
  json["classes"] = classes;
  boost::json::array phases;
  for (std::size_t i = 0; i < report.plan().phases.size(); ++i) {
    phases.push_back(PhaseJson(report, i));
  }
  json["phases"] = phases;
  boost::json::array seconds;
  for (std::size_t i = 0; i < report.seconds(); ++i) {
    seconds.push_back(SecondJson(report, i));
  }
  json["seconds"] = seconds;
  return json;
}

}  // namespace auburnfold
