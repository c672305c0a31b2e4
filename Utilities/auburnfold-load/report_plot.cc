#include "auburnfold-load/report_writers.h"

namespace auburnfold {

void WritePlotData(std::ostream& out, const load_report& report) {
  out << "# second, then for each class: sent, useful, refused, p99 ms\n";
  for (std::size_t second = 0; second < report.seconds(); ++second) {
    out << second;
    for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
      const call_tally& tally = report.of_second(second, i);
      const std::chrono::duration<double, std::milli> p99 =
          tally.latency().Quantile(0.99);
      out << " " << tally.sent() << " " << tally.of(call_outcome::kUseful)
          << " " << tally.of(call_outcome::kRefused) << " " << p99.count();
    }
    out << "\n";
  }
}

void WritePlotScript(std::ostream& out,
                     const load_report& report,
                     const std::string& data,
                     const std::string& image) {
  constexpr std::size_t kColumnsPerClass = 4;
  out << "set terminal png size 1000,600\n"
      << "set output '" << image << "'\n"
      << "set xlabel 'seconds'\nset ylabel 'calls each second'\n"
      << "set key outside\n"
      << "plot \\\n";
  for (std::size_t i = 0; i < report.plan().classes.size(); ++i) {
    const std::size_t sent = 2 + i * kColumnsPerClass;
    const std::string& name = report.plan().classes[i].name;
    out << "  '" << data << "' using 1:" << sent << " with lines dashtype 2 "
        << "title '" << name << " sent', \\\n"
        << "  '" << data << "' using 1:" << sent + 1 << " with lines title '"
        << name << " useful'"
        << (i + 1 < report.plan().classes.size() ? ", \\\n" : "\n");
  }
}

}  // namespace auburnfold
