#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sysexits.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "LibAdmin/admin_api.h"
#include "LibRuntime/Observability/bounded_appender.h"
#include "LibRuntime/Observability/json_layout.h"
#include "LibRuntime/Requests/own_dialect.h"
#include "LibRuntime/Settings/node_settings.h"
#include "LibRuntime/Settings/settings_change_detector.h"
#include "LibRuntime/node_runtime.h"
#include "platform/platform_dialect.h"
#include "platform/route_reader.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

namespace auburnfold {

namespace {

struct command_line_options {
  std::string settings_file;
  bool is_check_only = false;
};

command_line_options ParseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine parser(
      "The auburnfold node of one local endpoint. Exit codes: 0 stopped on "
      "request, 64 invalid usage, 69 cannot listen on a port, 70 internal "
      "error, 78 invalid settings.",
      ' ', AUBURNFOLD_VERSION);
  TCLAP::ValueArg<std::string> settings(
      "s", "settings",
      std::string("Settings file; taken from the environment variable ") +
          platform::kSettingsFileVariable + " if not given",
      false, "", "FILE", parser);
  TCLAP::SwitchArg check("c", "check", "Check the settings and exit", parser);
  parser.setExceptionHandling(false);
  parser.parse(argc, argv);
  command_line_options options{settings.getValue(), check.getValue()};
  const char* file_from_environment =
      std::getenv(platform::kSettingsFileVariable);
  if (options.settings_file.empty() && file_from_environment != nullptr) {
    options.settings_file = file_from_environment;
  }
  if (options.settings_file.empty()) {
    throw TCLAP::CmdLineParseException("no settings file given", "--settings");
  }
  return options;
}

void SetLogLevel(const std::string& level) {
  std::string name = level;
  for (char& character : name) {
    character =
        static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  log4cplus::Logger::getRoot().setLogLevel(
      log4cplus::getLogLevelManager().fromString(name));
}

// Starts logging to standard output. The returned appender buffers lines and
// must be flushed regularly.
bounded_appender& StartLogging(const std::string& level) {
  auto* appender = new bounded_appender(STDOUT_FILENO);
  const log4cplus::SharedAppenderPtr shared_appender(appender);
  shared_appender->setLayout(std::make_unique<json_layout>());
  log4cplus::Logger::getRoot().addAppender(shared_appender);
  SetLogLevel(level);
  return *appender;
}

// Flushes the log periodically while the event loop of `timer` runs.
void FlushLog(boost::asio::steady_timer& timer, bounded_appender& log) {
  constexpr std::chrono::milliseconds kFlushInterval{200};
  timer.expires_after(kFlushInterval);
  timer.async_wait([&timer, &log](boost::system::error_code error) {
    if (!error) {
      log.Flush();
      FlushLog(timer, log);
    }
  });
}

void ConnectStore(node_runtime& node, platform::store_client& store) {
  node.SetStoreCaller(
      [&store](const store_request& request, store_response_handler done) {
        store.Call(request, std::move(done));
      });
}

leaf::result<access_rules> ReadAccessRules(const node_settings& settings) {
  std::string error;
  auto rules = access_rules::Parse(settings.admin, error);
  if (!rules) {
    return leaf::new_error(settings_error{"settings", "admin", error});
  }
  return *std::move(rules);
}

// nng 1.5 can block forever in nng_close if a connection is just being set up,
// so a stopped node exits and leaves its sockets to the operating system.
[[noreturn]] void ExitWithoutClosingSockets() {
  log4cplus::Logger::shutdown();
  std::quick_exit(EX_OK);
}

capacity_planning PlanningOf(const node_settings& settings) {
  if (settings.capacity_planning == "always") {
    return capacity_planning::kAlways;
  }
  return settings.capacity_planning == "with_downloads"
             ? capacity_planning::kWithDownloads
             : capacity_planning::kNever;
}

// Options for the platform dialect: the platform's key-value store provides
// both the routes and the registry through which nodes discover each other.
node_options PlatformOptions(const node_settings& settings) {
  // Callers learn that an endpoint is leaving from its record, within the time
  // of one store call, or from a refusal by its node.
  constexpr std::chrono::milliseconds kPlatformLeavingGracePeriod{300};
  // Callers probe the readiness of the node once a second, and use another node
  // after two probes that failed. What is accepted at the end of the grace
  // period needs time to finish.
  constexpr std::chrono::milliseconds kPlatformStopGracePeriod{2400};
  constexpr int kGracePercent = 40;
  // Requests that still run are aborted after this percentage of the stop
  // limit, which gives them most of the time that the platform allows for a
  // stop.
  constexpr int kAbortPercent = 87;
  return {
      .limit = limit_mode::kAnnounced,
      .retries = retry_mode::kArrivals,
      .discovery = discovery_mode::kRegistry,
      .settings = settings_source::kRoutes,
      .route_key = std::string(platform::kRoutesKey),
      .leaving_grace = kPlatformLeavingGracePeriod,
      .stop_grace = std::min<duration>(
          kPlatformStopGracePeriod, settings.stop_limit * kGracePercent / 100),
      .stop_limit = settings.stop_limit * kAbortPercent / 100,
      .refuses_child_calls_early = false,
      .planning = PlanningOf(settings),
      .api_key_validity = settings.api_key_validity};
}

std::unique_ptr<node_runtime> MakeNode(boost::asio::io_context& io,
                                       node_settings settings) {
  if (settings.dialect == "own") {
    return std::make_unique<node_runtime>(
        io, settings, any_wire_dialect(own_dialect()),
        node_options{.planning = PlanningOf(settings)});
  }
  const node_options options = PlatformOptions(settings);
  // The platform kills the process at the stop limit, even if callers still
  // send requests. The process exits by itself shortly before.
  constexpr int kExitPercent = 95;
  settings.stop_limit = settings.stop_limit * kExitPercent / 100;
  auto node = std::make_unique<node_runtime>(
      io, settings,
      any_wire_dialect(platform::platform_dialect(settings.service)), options);
  node->SetRouteDecoder(
      [](const std::string& value) { return platform::ReadRoutes(value); });
  return node;
}

// Reloads the settings file on SIGHUP, and periodically, since the file may
// change without a signal. Without a handler, SIGHUP would end the process.
class settings_reload {
 public:
  settings_reload(boost::asio::io_context& io,
                  settings_change_detector watch,
                  std::function<void(const node_settings&)> on_reload)
      : watch_(std::move(watch)),
        on_reload_(std::move(on_reload)),
        signals_(io, SIGHUP),
        timer_(io) {
    AwaitSignal();
    AwaitTimer();
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) {
        ReloadIfChanged();
        AwaitSignal();
      }
    });
  }

  void AwaitTimer() {
    // Reading a file of about a kilobyte is cheap compared to a heartbeat.
    constexpr std::chrono::seconds kCheckInterval{2};
    timer_.expires_after(kCheckInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        ReloadIfChanged();
        AwaitTimer();
      }
    });
  }

  void ReloadIfChanged() {
    const settings_change change = watch_.Check();
    if (change.is_changed()) {
      LOG4CPLUS_INFO(log4cplus::Logger::getInstance("auburnfold.settings"),
                     ToLogLine(change));
    }
    if (change.new_settings) {
      on_reload_(*change.new_settings);
    }
  }

  settings_change_detector watch_;
  std::function<void(const node_settings&)> on_reload_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

leaf::result<int> Serve(const node_settings& settings,
                        const std::string& settings_file,
                        bounded_appender& log) {
  BOOST_LEAF_AUTO(rules, ReadAccessRules(settings));
  boost::asio::io_context io(1);
  boost::asio::steady_timer log_timer(io);
  FlushLog(log_timer, log);
  const std::unique_ptr<node_runtime> node_owner = MakeNode(io, settings);
  node_runtime& node = *node_owner;
  platform::store_client store(io.get_executor(),
                               {settings.store_host, settings.store_port});
  if (settings.store_port != 0) {
    ConnectStore(node, store);
  }
  admin_api api(std::move(rules),
                [&node](admin_request request, admin_result_handler done) {
                  node.RequestAdmin(std::move(request), std::move(done));
                });
  node.SetAdminHandler([&api](const http_request& request,
                              const admin_response_callback& answer) {
    return api.Handle(request, answer);
  });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&node](boost::system::error_code error, int) {
    if (!error) {
      node.Stop();
    }
  });
  const settings_reload reload(
      io, settings_change_detector(settings_file, settings),
      [&node, &store](const node_settings& new_settings) {
        SetLogLevel(new_settings.log_level);
        store.SetAddress({new_settings.store_host, new_settings.store_port});
        node.SetStopLinger(new_settings.stop_linger);
      });
  node.SetStoppedHandler([&io] { io.stop(); });
  BOOST_LEAF_CHECK(node.Start());
  io.run();
  ExitWithoutClosingSockets();
}

leaf::result<int> Run(const command_line_options& options) {
  BOOST_LEAF_AUTO(settings, LoadNodeSettings(options.settings_file));
  BOOST_LEAF_CHECK(ReadAccessRules(settings));
  if (options.is_check_only) {
    std::cout << options.settings_file << ": settings are valid\n";
    return EX_OK;
  }
  return Serve(settings, options.settings_file,
               StartLogging(settings.log_level));
}

int RunAndReportErrors(const command_line_options& options) {
  return leaf::try_handle_all([&] { return Run(options); },
                              [](const settings_error& error) {
                                std::cerr << error.file << ": " << error.key
                                          << (error.key.empty() ? "" : " ")
                                          << error.reason << "\n";
                                return EX_CONFIG;
                              },
                              [](const listen_error& error) {
                                std::cerr << "cannot listen on " << error.key
                                          << " " << error.port << ": "
                                          << error.reason << "\n";
                                return EX_UNAVAILABLE;
                              },
                              [] {
                                std::cerr << "internal error\n";
                                return EX_SOFTWARE;
                              });
}

}  // namespace

}  // namespace auburnfold

int main(int argc, char** argv) {
  const log4cplus::Initializer logging;
  try {
    return auburnfold::RunAndReportErrors(
        auburnfold::ParseCommandLine(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << " " << error.error() << "\n";
    return EX_USAGE;
  }
}
