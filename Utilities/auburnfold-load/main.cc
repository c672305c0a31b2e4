#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "auburnfold-load/load_run.h"
#include "auburnfold-load/report_writers.h"

namespace auburnfold {
namespace {

constexpr int kExitUsage = 64;
constexpr int kExitCannotWrite = 73;
constexpr int kExitPlan = 78;

/// A file of the command line that cannot be read or written.
class file_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    throw plan_error(file + ": cannot be read");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

template <class writer>
void WriteFile(const std::string& file, const writer& write) {
  std::ofstream out(file);
  write(out);
  if (!out.flush()) {
    throw file_error(file + ": cannot be written");
  }
}

void WritePlot(const std::string& image, const load_report& report) {
  const std::string data = image + ".dat";
  WriteFile(data, [&](std::ostream& out) { WritePlotData(out, report); });
  WriteFile(image + ".gp", [&](std::ostream& out) {
    WritePlotScript(out, report, data, image);
  });
}

int Run(int argc, const char* const* argv) {
  TCLAP::CmdLine line(
      "Offers load by schedule and reports what came of it. SIGTERM ends the "
      "sends early. Exit codes: 64 "
      "wrong command line, 73 a file cannot be written, 78 wrong plan.",
      ' ', AUBURNFOLD_VERSION);
  TCLAP::UnlabeledValueArg<std::string> plan_file(
      "plan", "Plan in JSON with comments", true, "", "PLAN", line);
  TCLAP::ValueArg<std::string> json("", "json", "Writes all figures to FILE",
                                    false, "", "FILE", line);
  TCLAP::ValueArg<std::string> plot(
      "", "plot", "Writes FILE.gp, a gnuplot script that draws FILE", false, "",
      "FILE", line);
  TCLAP::ValueArg<std::string> direct(
      "", "direct", "Endpoint for the direct phases, in place of the plan's",
      false, "", "HOST:PORT", line);
  TCLAP::SwitchArg seconds("", "seconds", "Prints a row for each second", line);
  line.parse(argc, argv);

  load_plan plan =
      ParseLoadPlan(ReadFile(plan_file.getValue()), plan_file.getValue());
  if (direct.isSet()) {
    const std::optional<http_address> address =
        ParseHttpAddress(direct.getValue());
    if (!address) {
      throw TCLAP::ArgException("is not HOST:PORT", "--direct");
    }
    plan.direct = {*address};
  }
  CheckServers(plan);
  boost::asio::io_context io(1);
  load_report report(plan);
  load_run run(io, plan, report);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&run](boost::system::error_code error, int) {
    if (!error) {
      run.EndEarly();
    }
  });
  run.Start();
  io.run();

  WriteTable(std::cout, report, seconds.getValue());
  if (json.isSet()) {
    WriteFile(json.getValue(), [&](std::ostream& out) {
      out << boost::json::serialize(ReportJson(report)) << "\n";
    });
  }
  if (plot.isSet()) {
    WritePlot(plot.getValue(), report);
  }
  return 0;
}

}  // namespace
}  // namespace auburnfold

int main(int argc, char** argv) {
  try {
    return auburnfold::Run(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << " " << error.error() << "\n";
    return auburnfold::kExitUsage;
  } catch (const auburnfold::plan_error& error) {
    std::cerr << error.what() << "\n";
    return auburnfold::kExitPlan;
  } catch (const auburnfold::file_error& error) {
    std::cerr << error.what() << "\n";
    return auburnfold::kExitCannotWrite;
  } catch (const boost::system::system_error& error) {
    std::cerr << error.what() << "\n";
    return auburnfold::kExitPlan;
  }
}
