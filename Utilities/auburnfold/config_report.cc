#include "auburnfold/config_report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>

namespace auburnfold {

namespace json = boost::json;

namespace {

std::string_view SeverityOf(config_fault fault) {
  return IsError(fault) ? "error" : "warning";
}

}  // namespace

bool config_report::has_errors() const {
  return std::any_of(
      findings.begin(), findings.end(),
      [](const config_finding& finding) { return IsError(finding.fault); });
}

config_report MakeConfigReport(const route_config& config,
                               const route_config* in_force) {
  config_report report{.findings = CheckConfig(config, in_force)};
  if (in_force != nullptr) {
    report.differences = CompareConfigs(*in_force, config);
  }
  return report;
}

void WriteText(const config_report& report, std::ostream& out) {
  for (const config_finding& finding : report.findings) {
    out << SeverityOf(finding.fault) << ' ' << NameOf(finding.fault) << ": "
        << finding.entry << (finding.entry.empty() ? "" : " ") << finding.field
        << ": " << finding.reason << '\n';
  }
  for (const config_difference& difference : report.differences) {
    if (difference.field.empty()) {
      out << (difference.before.empty() ? "added " : "removed ")
          << difference.entry << '\n';
      continue;
    }
    out << "changed " << difference.entry << ' ' << difference.field << ": "
        << difference.before << " -> " << difference.after << '\n';
  }
}

void WriteJson(const config_report& report, std::ostream& out) {
  json::array findings;
  for (const config_finding& finding : report.findings) {
    findings.push_back(json::object{{"severity", SeverityOf(finding.fault)},
                                    {"fault", NameOf(finding.fault)},
                                    {"entry", finding.entry},
                                    {"field", finding.field},
                                    {"reason", finding.reason}});
  }
  json::array differences;
  for (const config_difference& difference : report.differences) {
    differences.push_back(json::object{{"entry", difference.entry},
                                       {"field", difference.field},
                                       {"before", difference.before},
                                       {"after", difference.after}});
  }
  out << json::serialize(json::object{{"findings", std::move(findings)},
                                      {"differences", std::move(differences)}})
      << '\n';
}

}  // namespace auburnfold
