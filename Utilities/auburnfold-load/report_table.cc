#include <iomanip>

#include "auburnfold-load/report_writers.h"

namespace auburnfold {

namespace {

constexpr int kNameWidth = 24;
constexpr int kCountWidth = 9;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

double MillisecondsOf(const call_tally& tally, double share) {
  return static_cast<double>(tally.latency().Quantile(share).count()) /
         kMicrosecondsPerMillisecond;
}

void WriteHeadings(std::ostream& out, const char* first) {
  out << std::left << std::setw(kNameWidth) << first << std::right;
  for (const char* name : {"sent", "useful", "late", "refused", "unknown",
                           "failed", "foreign", "partial", "unsent", "retries",
                           "share", "p50 ms", "p99 ms", "p99.9 ms"}) {
    out << std::setw(kCountWidth) << name;
  }
  out << "\n";
}

void WriteRow(std::ostream& out,
              const std::string& name,
              const call_tally& tally) {
  out << std::left << std::setw(kNameWidth) << name << std::right
      << std::setw(kCountWidth) << tally.sent();
  for (std::size_t i = 0; i < kCallOutcomeCount; ++i) {
    out << std::setw(kCountWidth) << tally.of(static_cast<call_outcome>(i));
  }
  out << std::setw(kCountWidth) << tally.retries() << std::fixed
      << std::setprecision(3) << std::setw(kCountWidth)
      << tally.goodput_share();
  for (const double share : {0.5, 0.99, 0.999}) {
    out << std::setw(kCountWidth) << std::setprecision(2)
        << MillisecondsOf(tally, share);
  }
}

void WriteRecovery(std::ostream& out,
                   const std::string& name,
                   std::optional<std::chrono::milliseconds> recovery) {
  out << "  " << std::left << std::setw(kNameWidth) << name << std::right;
  if (recovery) {
    out << std::setprecision(2)
        << std::chrono::duration<double>(*recovery).count() << " s\n";
  } else {
    out << "not before the next phase under surge, or the end\n";
  }
}

void WriteRecoveries(std::ostream& out, const load_report& report) {
  for (const surge_window& surge : report.surges()) {
    out << "recovery after " << surge.phase << "\n";
    for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
      WriteRecovery(out, report.plan().classes[i].name,
                    report.Recovery(surge, i));
    }
    WriteRecovery(out, "all", report.Recovery(surge));
  }
}

void WriteSeconds(std::ostream& out, const load_report& report) {
  WriteHeadings(out, "second, class");
  for (std::size_t second = 0; second < report.seconds(); ++second) {
    for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
      WriteRow(out,
               std::to_string(second) + " " + report.plan().classes[i].name,
               report.of_second(second, i));
      out << "\n";
    }
  }
}

}  // namespace

void WriteTable(std::ostream& out,
                const load_report& report,
                bool with_seconds) {
  if (with_seconds) {
    WriteSeconds(out, report);
    out << "\n";
  }
  WriteHeadings(out, "class");
  for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
    WriteRow(out, report.plan().classes[i].name,
             report.of_class(i, load_path::kNode));
    out << "\n";
  }
  WriteRow(out, "all", report.total(load_path::kNode));
  out << "\n";
  if (report.total(load_path::kDirect).sent() > 0) {
    WriteRow(out, "all, direct", report.total(load_path::kDirect));
    out << "\n";
  }
  WriteRecoveries(out, report);
  out << "sent late by the load tool itself, p99: "
      << static_cast<double>(report.send_delay().Quantile(0.99).count()) /
             kMicrosecondsPerMillisecond
      << " ms\n";
}

}  // namespace auburnfold
