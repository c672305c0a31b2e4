#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <sysexits.h>
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "LibAdmin/admin_api.h"
#include "LibPlatform/store_client.h"
#include "LibRuntime/node_runtime.h"
#include "LibRuntime/node_settings.h"

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
  TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file", true,
                                        "", "FILE", line);
  TCLAP::SwitchArg check("c", "check", "Check the settings and exit", line);
  line.setExceptionHandling(false);
  line.parse(argc, argv);
  return {settings.getValue(), check.getValue()};
}

void StartLogging(const std::string& level) {
  log4cplus::SharedAppenderPtr console(
      new log4cplus::ConsoleAppender(true, true));
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(console);
  std::string name = level;
  for (char& letter : name) {
    letter =
        static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(name));
}

void ConnectStore(node_runtime& node, store_client& store) {
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
  std::cout.flush();
  std::quick_exit(EX_OK);
}

leaf::result<int> Serve(const node_settings& settings) {
  BOOST_LEAF_AUTO(rules, ReadAccessRules(settings));
  boost::asio::io_context io(1);
  node_runtime node(io, settings);
  store_client store(io.get_executor(),
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
  StartLogging(settings.log_level);
  return Serve(settings);
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
