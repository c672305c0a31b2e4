#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sysexits.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

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
#include "LibRuntime/bounded_appender.h"
#include "LibRuntime/json_layout.h"
#include "LibRuntime/node_runtime.h"
#include "LibRuntime/node_settings.h"
#include "LibRuntime/settings_watch.h"
#include "platform/platform_dialect.h"
#include "platform/route_reader.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

namespace auburnfold {

namespace {

struct options {
  std::string settings_file;
  bool is_check_only = false;
};

options ReadCommandLine(int argc, char** argv) {
  TCLAP::CmdLine line(
      "The auburnfold process beside an endpoint. Exit codes: 0 stopped as "
      "asked, 64 wrong usage, 69 a port cannot be listened at, 70 internal "
      "error, 78 wrong settings.",
      ' ', AUBURNFOLD_VERSION);
  TCLAP::ValueArg<std::string> settings(
      "s", "settings",
      std::string("Settings file; without it the environment variable ") +
          platform::kSettingsVariable + " names it",
      false, "", "FILE", line);
  TCLAP::SwitchArg check("c", "check", "Check the settings and exit", line);
  line.setExceptionHandling(false);
  line.parse(argc, argv);
  options chosen{settings.getValue(), check.getValue()};
  const char* named = std::getenv(platform::kSettingsVariable);
  if (chosen.settings_file.empty() && named != nullptr) {
    chosen.settings_file = named;
  }
  if (chosen.settings_file.empty()) {
    throw TCLAP::CmdLineParseException("no settings file is named",
                                       "--settings");
  }
  return chosen;
}

void SetLogLevel(const std::string& level) {
  std::string name = level;
  for (char& letter : name) {
    letter =
        static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  log4cplus::Logger::getRoot().setLogLevel(
      log4cplus::getLogLevelManager().fromString(name));
}

/// Starts logging and returns the appender, which must be flushed.
bounded_appender& StartLogging(const std::string& level) {
  auto* appender = new bounded_appender(STDOUT_FILENO);
  const log4cplus::SharedAppenderPtr shared(appender);
  shared->setLayout(std::make_unique<json_layout>());
  log4cplus::Logger::getRoot().addAppender(shared);
  SetLogLevel(level);
  return *appender;
}

/// Writes out the log again and again while `io` runs.
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
      [&store](const store_request& request, store_answer_handler done) {
        store.Call(request, std::move(done));
      });
}

leaf::result<access_rules> ReadAccessRules(const node_settings& settings) {
  std::string fault;
  auto rules = access_rules::Parse(settings.admin, fault);
  if (!rules) {
    return leaf::new_error(settings_error{"settings", "admin", fault});
  }
  return *std::move(rules);
}

// nng 1.5 can wait without end in nng_close for a connection that is just
// being set up, so a node that has finished leaves its sockets to the system.
[[noreturn]] void ExitWithoutClosing() {
  log4cplus::Logger::shutdown();
  std::quick_exit(EX_OK);
}

/// Where the platform keeps the routes, nodes find each other there too.
node_options PlatformOptions(const node_settings& settings) {
  // Callers hear of a leaving endpoint from its record within a store call, or
  // from its node's refusal.
  constexpr std::chrono::milliseconds kPlatformLeavingGrace{300};
  // Callers ask once a second whether the node is ready, and go elsewhere
  // after two answers that it is not.
  constexpr std::chrono::milliseconds kPlatformStopGrace{2400};
  // A request that still runs then has had most of the time of grace.
  constexpr int kStopLimitPercent = 87;
  return {.limit = limit_mode::kAnnounced,
          .retries = retry_mode::kArrivals,
          .discovery = discovery_mode::kRegistry,
          .settings = settings_source::kRoutes,
          .route_key = std::string(platform::kRoutesKey),
          .leaving_grace = kPlatformLeavingGrace,
          .stop_grace = kPlatformStopGrace,
          .stop_limit = settings.stop_limit * kStopLimitPercent / 100,
          .refuses_running_early = false};
}

std::unique_ptr<node_runtime> MakeNode(boost::asio::io_context& io,
                                       node_settings settings) {
  if (settings.dialect == "own") {
    return std::make_unique<node_runtime>(io, settings);
  }
  const node_options chosen = PlatformOptions(settings);
  // The platform kills what is left at its own limit, also where callers still
  // send requests; the process ends by itself just before.
  constexpr int kEndPercent = 95;
  settings.stop_limit = settings.stop_limit * kEndPercent / 100;
  auto node = std::make_unique<node_runtime>(
      io, settings,
      any_wire_dialect(platform::platform_dialect(settings.service)), chosen);
  node->SetRouteDecoder(
      [](const std::string& value) { return platform::ReadRoutes(value); });
  return node;
}

/// Takes changed settings: at SIGHUP, and regularly, since the file may change
/// without a signal. Without a handler, SIGHUP would end the process.
class settings_reload {
 public:
  settings_reload(boost::asio::io_context& io,
                  settings_watch watch,
                  std::function<void(const node_settings&)> on_taken)
      : watch_(std::move(watch)),
        on_taken_(std::move(on_taken)),
        signals_(io, SIGHUP),
        timer_(io) {
    AwaitSignal();
    AwaitTimer();
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) {
        Check();
        AwaitSignal();
      }
    });
  }

  void AwaitTimer() {
    // Reading a kilobyte costs little beside a heartbeat.
    constexpr std::chrono::seconds kCheckInterval{2};
    timer_.expires_after(kCheckInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Check();
        AwaitTimer();
      }
    });
  }

  void Check() {
    const settings_change change = watch_.Check();
    if (change.is_any()) {
      LOG4CPLUS_INFO(log4cplus::Logger::getInstance("auburnfold.settings"),
                     LineOf(change));
    }
    if (change.taken) {
      on_taken_(*change.taken);
    }
  }

  settings_watch watch_;
  std::function<void(const node_settings&)> on_taken_;
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
  const std::unique_ptr<node_runtime> made = MakeNode(io, settings);
  node_runtime& node = *made;
  platform::store_client store(io.get_executor(),
                               {settings.store_host, settings.store_port});
  if (settings.store_port != 0) {
    ConnectStore(node, store);
  }
  admin_api api(std::move(rules),
                [&node](admin_request asked, admin_result_handler done) {
                  node.RequestAdmin(std::move(asked), std::move(done));
                });
  node.SetAdminHandler(
      [&api](const http_request& request, const admin_answer& answer) {
        return api.Handle(request, answer);
      });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&node](boost::system::error_code error, int) {
    if (!error) {
      node.Stop();
    }
  });
  const settings_reload reload(
      io, settings_watch(settings_file, settings),
      [&node, &store](const node_settings& taken) {
        SetLogLevel(taken.log_level);
        store.SetAddress({taken.store_host, taken.store_port});
        node.SetStopLinger(taken.stop_linger);
      });
  node.SetStoppedHandler([&io] { io.stop(); });
  BOOST_LEAF_CHECK(node.Start());
  io.run();
  ExitWithoutClosing();
}

leaf::result<int> Run(const options& chosen) {
  BOOST_LEAF_AUTO(settings, LoadNodeSettings(chosen.settings_file));
  BOOST_LEAF_CHECK(ReadAccessRules(settings));
  if (chosen.is_check_only) {
    std::cout << chosen.settings_file << ": settings are valid\n";
    return EX_OK;
  }
  return Serve(settings, chosen.settings_file,
               StartLogging(settings.log_level));
}

int RunAndReport(const options& chosen) {
  return leaf::try_handle_all([&] { return Run(chosen); },
                              [](const settings_error& error) {
                                std::cerr << error.file << ": " << error.key
                                          << (error.key.empty() ? "" : " ")
                                          << error.reason << "\n";
                                return EX_CONFIG;
                              },
                              [](const listen_error& error) {
                                std::cerr << "cannot listen at " << error.key
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
    return auburnfold::RunAndReport(auburnfold::ReadCommandLine(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << " " << error.error() << "\n";
    return EX_USAGE;
  }
}
