#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <iostream>

#include "StandIns/checked_args.h"
#include "StandIns/endpoint_process.h"

namespace auburnfold {
namespace {

using milliseconds = std::chrono::milliseconds;

std::optional<http_address> AddressOf(const std::string& name,
                                      const std::string& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  std::optional<http_address> address = ParseHttpAddress(text);
  if (!address) {
    throw TCLAP::ArgException("is not HOST:PORT", name);
  }
  return address;
}

duration MillisecondsFrom(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(value));
}

endpoint_settings ParseSettings(int argc, const char* const* argv) {
  TCLAP::CmdLine line("A stand-in for an endpoint of a service.", ' ',
                      AUBURNFOLD_VERSION);
  range_constraint<int> counts(1, 100'000);
  range_constraint<int> millis(0, 600'000);
  range_constraint<int> bytes(0, 1'000'000);
  TCLAP::ValueArg<std::string> service("", "service", "Service that it offers",
                                       true, "", "name", line);
  TCLAP::ValueArg<std::string> listen("", "listen", "Where it listens", true,
                                      "", "HOST:PORT", line);
  TCLAP::ValueArg<std::string> node("", "node", "Call port of its node", false,
                                    "", "HOST:PORT", line);
  TCLAP::ValueArg<int> slots("", "slots", "Requests that run at once", false,
                             16, &counts, line);
  TCLAP::ValueArg<int> connections("", "connection-limit",
                                   "Connections it accepts", false, 1100,
                                   &counts, line);
  TCLAP::ValueArg<double> time("", "service-ms", "Mean service time", false,
                               10.0, "milliseconds", line);
  TCLAP::SwitchArg exponential("", "exponential",
                               "Service times are exponential", line);
  TCLAP::ValueArg<int> seed("", "seed", "Seed of the service times", false, 1,
                            "number", line);
  TCLAP::ValueArg<int> cold("", "cold-ms", "Time it is cold after its start",
                            false, 0, &millis, line);
  TCLAP::ValueArg<double> cold_factor("", "cold-factor",
                                      "Factor on service times while cold",
                                      false, 3.0, "factor", line);
  TCLAP::ValueArg<int> answer("", "answer-bytes", "Size of its answers", false,
                              200, &bytes, line);
  TCLAP::ValueArg<std::string> deeper("", "deeper",
                                      "Calls it makes for each request", false,
                                      "", "SERVICE/CLASS,...", line);
  TCLAP::SwitchArg parallel("", "parallel", "Makes its calls side by side",
                            line);
  TCLAP::ValueArg<int> leave("", "leave-ms",
                             "Announces leaving for so long before it stops",
                             false, 3000, &millis, line);
  TCLAP::ValueArg<int> limit("", "stop-limit-ms",
                             "Then waits so long for work in flight", false,
                             10'000, &millis, line);
  line.parse(argc, argv);

  const std::optional<std::vector<deeper_call>> calls =
      ParseDeeperCalls(deeper.getValue());
  if (!calls) {
    throw TCLAP::ArgException("is not a list of at most " +
                                  std::to_string(kMostDeeperCalls) +
                                  " SERVICE/CLASS",
                              "--deeper");
  }
  endpoint_settings settings;
  settings.service = service.getValue();
  settings.address = *AddressOf("--listen", listen.getValue());
  settings.node = AddressOf("--node", node.getValue());
  settings.model.slots = static_cast<std::uint32_t>(slots.getValue());
  settings.model.shape = exponential.getValue()
                             ? service_time_shape::kExponential
                             : service_time_shape::kFixed;
  settings.model.mean_service_time = MillisecondsFrom(time.getValue());
  settings.model.seed = static_cast<std::uint64_t>(seed.getValue());
  settings.model.cold_time = milliseconds(cold.getValue());
  settings.model.cold_factor = cold_factor.getValue();
  settings.connection_limit =
      static_cast<std::uint32_t>(connections.getValue());
  settings.answer_bytes = static_cast<std::uint32_t>(answer.getValue());
  settings.deeper = *calls;
  settings.calls_in_parallel = parallel.getValue();
  settings.leave_time = milliseconds(leave.getValue());
  settings.stop_limit = milliseconds(limit.getValue());
  return settings;
}

int Run(int argc, const char* const* argv) {
  const endpoint_settings settings = ParseSettings(argc, argv);
  boost::asio::io_context context(1);
  endpoint_process endpoint(context, settings);
  std::cout << settings.service << " listens on " << settings.address.host
            << ":" << settings.address.port << std::endl;
  context.run();
  if (endpoint.cut_count() > 0) {
    std::cerr << "stop cut " << endpoint.cut_count() << " requests\n";
    return kExitCutRequests;
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
  } catch (const boost::system::system_error& error) {
    std::cerr << error.what() << "\n";
    return auburnfold::kExitUnavailable;
  }
}
