#ifndef AUBURNFOLD_LOAD_REPORT_WRITERS_H_
#define AUBURNFOLD_LOAD_REPORT_WRITERS_H_

#include <boost/json/object.hpp>
#include <ostream>
#include <string>

#include "auburnfold-load/load_report.h"

namespace auburnfold {

/// A table of all classes, and of each second if `with_seconds`.
void WriteTable(std::ostream& out,
                const load_report& report,
                bool with_seconds);

/// All figures; times end in their unit.
boost::json::object ReportJson(const load_report& report);

/// Demand and goodput for each second: the data, and a gnuplot script that
/// draws it into `image`.
void WritePlotData(std::ostream& out, const load_report& report);
void WritePlotScript(std::ostream& out,
                     const load_report& report,
                     const std::string& data,
                     const std::string& image);

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_REPORT_WRITERS_H_
