#include <sysexits.h>
#include <tclap/CmdLine.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "auburnfold/config_report.h"
#include "auburnfold/log_story.h"
#include "platform/route_reader.h"

namespace auburnfold {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

constexpr std::chrono::seconds kAnswerTimeout{15};

// Every edit needs a name; one that nobody chose is unlikely to stand twice.
std::string NewChangeName() {
  std::random_device random;
  return "change-" + std::to_string(random()) + "-" + std::to_string(random());
}

struct options {
  std::string host;
  std::string port;
  std::string token;
  std::string change;
  std::string expected;
  std::string in_force;
  bool is_json = false;
  std::vector<std::string> words;
};

/// One call of the administration API.
struct api_call {
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
};

options ReadCommandLine(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Shows and changes the table, and nodes. Commands: table show; "
      "table history|delete SERVICE CLASS; table set SERVICE CLASS JSON; "
      "table rollback SERVICE CLASS VERSION; nodes; drain on|off; status; "
      "explain REQUEST-ID [FILE...] and summary [FILE...], which read the "
      "nodes' logs from files or standard input; check-config FILE, which "
      "checks routes before they are put in force, and shows what differs from "
      "those in the file of --in-force. The "
      "token is read from AUBURNFOLD_TOKEN. Exit codes: 0 done, 1 refused, 64 "
      "wrong usage, 65 a configuration that cannot be read, 66 no such file, "
      "69 no answer.",
      ' ', AUBURNFOLD_VERSION);
  TCLAP::ValueArg<std::string> host("", "host", "Node's address", false,
                                    "127.0.0.1", "IP", line);
  TCLAP::ValueArg<std::string> port("p", "port",
                                    "Node's admin port; needed to reach it",
                                    false, "", "PORT", line);
  TCLAP::ValueArg<std::string> change("", "change", "Names the change", false,
                                      "", "ID", line);
  TCLAP::ValueArg<std::string> expected("", "expected",
                                        "Version that you saw; 0 for a new row",
                                        false, "", "VERSION", line);
  TCLAP::ValueArg<std::string> in_force("", "in-force",
                                        "Configuration that is in force", false,
                                        "", "FILE", line);
  TCLAP::SwitchArg is_json("", "json", "Reports as JSON", line);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "Command", true,
                                              "COMMAND", line);
  line.setExceptionHandling(false);
  line.parse(argc, argv);
  const char* token = std::getenv("AUBURNFOLD_TOKEN");
  return {
      host.getValue(),    port.getValue(),     token == nullptr ? "" : token,
      change.getValue(),  expected.getValue(), in_force.getValue(),
      is_json.getValue(), words.getValue()};
}

std::optional<api_call> TableCall(const std::vector<std::string>& words) {
  if (words.size() == 2 && words[1] == "show") {
    return api_call{.target = "/v1/table"};
  }
  if (words.size() < 4) {
    return std::nullopt;
  }
  const std::string row = "/v1/table/" + words[2] + "/" + words[3];
  if (words.size() == 4 && words[1] == "history") {
    return api_call{.target = row + "/history"};
  }
  if (words.size() == 4 && words[1] == "delete") {
    return api_call{http::verb::delete_, row, ""};
  }
  if (words.size() == 5 && words[1] == "set") {
    return api_call{http::verb::put, row, words[4]};
  }
  if (words.size() == 5 && words[1] == "rollback") {
    return api_call{http::verb::post, row + "/rollback",
                    "{\"version\":" + words[4] + "}"};
  }
  return std::nullopt;
}

std::optional<api_call> CallFor(const std::vector<std::string>& words) {
  if (words[0] == "table") {
    return TableCall(words);
  }
  if (words.size() == 1 && words[0] == "nodes") {
    return api_call{.target = "/v1/nodes"};
  }
  if (words.size() == 1 && words[0] == "status") {
    return api_call{.target = "/v1/table"};
  }
  if (words.size() == 2 && words[0] == "drain" && words[1] == "on") {
    return api_call{http::verb::put, "/v1/drain", ""};
  }
  if (words.size() == 2 && words[0] == "drain" && words[1] == "off") {
    return api_call{http::verb::delete_, "/v1/drain", ""};
  }
  return std::nullopt;
}

http::request<http::string_body> MakeRequest(const options& chosen,
                                             const api_call& call) {
  http::request<http::string_body> request(call.method, call.target, 11);
  request.set(http::field::host, chosen.host);
  request.keep_alive(false);
  if (!chosen.token.empty()) {
    request.set(http::field::authorization, "Bearer " + chosen.token);
  }
  request.set("Auburnfold-Change",
              chosen.change.empty() ? NewChangeName() : chosen.change);
  if (chosen.expected == "0") {
    request.set(http::field::if_none_match, "*");
  } else if (!chosen.expected.empty()) {
    request.set(http::field::if_match, '"' + chosen.expected + '"');
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// The stream's timeout holds for asynchronous calls only.
std::optional<http::response<http::string_body>> Exchange(
    const options& chosen,
    const api_call& call) {
  asio::io_context io(1);
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  bool is_done = false;
  const auto request = MakeRequest(chosen, call);
  const auto address = asio::ip::make_address(chosen.host);
  const auto port = static_cast<std::uint16_t>(std::stoul(chosen.port));
  stream.expires_after(kAnswerTimeout);
  stream.async_connect(
      asio::ip::tcp::endpoint(address, port), [&](beast::error_code error) {
        if (error) {
          return;
        }
        http::async_write(
            stream, request, [&](beast::error_code failed, std::size_t) {
              if (failed) {
                return;
              }
              http::async_read(stream, buffer, response,
                               [&](beast::error_code lost, std::size_t) {
                                 is_done = !lost;
                               });
            });
      });
  io.run();
  return is_done ? std::optional(std::move(response)) : std::nullopt;
}

// Of the whole table, `status` prints only how far the peers have it.
std::string Shown(const options& chosen, const std::string& body) {
  if (chosen.words[0] != "status") {
    return body;
  }
  beast::error_code error;
  json::value answer = json::parse(body, error);
  if (error || !answer.is_object()) {
    return body;
  }
  json::object& object = answer.get_object();
  object["rows"] = object["rows"].is_array() ? object["rows"].get_array().size()
                                             : std::size_t{0};
  return json::serialize(answer) + "\n";
}

/// Lets `reader` read the named logs, or standard input if none is named.
template <class log_reader>
bool ReadLogs(const std::vector<std::string>& files, log_reader& reader) {
  if (files.empty()) {
    reader.Read(std::cin);
  }
  for (const std::string& file : files) {
    std::ifstream log(file);
    if (!log) {
      std::cerr << file << ": cannot be read\n";
      return false;
    }
    reader.Read(log);
  }
  if (reader.unread_lines() > 0) {
    std::cerr << reader.unread_lines() << " lines could not be read\n";
  }
  return true;
}

int Explain(const std::vector<std::string>& words) {
  log_story story(words[1]);
  if (!ReadLogs({words.begin() + 2, words.end()}, story)) {
    return EX_NOINPUT;
  }
  if (story.is_empty()) {
    std::cerr << "no line tells of " << words[1] << "\n";
    return EXIT_FAILURE;
  }
  story.Write(std::cout);
  return EX_OK;
}

int Summarize(const std::vector<std::string>& words) {
  log_summary summary;
  if (!ReadLogs({words.begin() + 1, words.end()}, summary)) {
    return EX_NOINPUT;
  }
  summary.Write(std::cout);
  return EX_OK;
}

// The exit code tells a file that is missing from one that cannot be read.
std::optional<route_config> ReadConfig(const std::string& file, int& status) {
  std::ifstream input(file);
  if (!input) {
    std::cerr << file << ": cannot be opened\n";
    status = EX_NOINPUT;
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  auto config = platform::ReadRoutes(text);
  if (!config) {
    std::cerr << file << ": not a configuration with a version and entries\n";
    status = EX_DATAERR;
  }
  return config;
}

int CheckConfigFile(const options& chosen) {
  int status = EX_OK;
  const auto config = ReadConfig(chosen.words[1], status);
  if (!config) {
    return status;
  }
  std::optional<route_config> in_force;
  if (!chosen.in_force.empty()) {
    in_force = ReadConfig(chosen.in_force, status);
    if (!in_force) {
      return status;
    }
  }
  const config_report report =
      MakeConfigReport(*config, in_force ? &*in_force : nullptr);
  if (chosen.is_json) {
    WriteJson(report, std::cout);
  } else {
    WriteText(report, std::cout);
  }
  return report.has_errors() ? EXIT_FAILURE : EX_OK;
}

int Run(const options& chosen) {
  if (chosen.words.size() > 1 && chosen.words[0] == "explain") {
    return Explain(chosen.words);
  }
  if (!chosen.words.empty() && chosen.words[0] == "summary") {
    return Summarize(chosen.words);
  }
  if (chosen.words.size() == 2 && chosen.words[0] == "check-config") {
    return CheckConfigFile(chosen);
  }
  const auto call = CallFor(chosen.words);
  if (!call) {
    std::cerr << "no such command; see --help\n";
    return EX_USAGE;
  }
  if (chosen.port.empty()) {
    std::cerr << "--port is needed to reach a node\n";
    return EX_USAGE;
  }
  const auto response = Exchange(chosen, *call);
  if (!response) {
    std::cerr << "no answer from " << chosen.host << ":" << chosen.port << "\n";
    return EX_UNAVAILABLE;
  }
  std::cout << Shown(chosen, response->body());
  return response->result() == http::status::ok ? EX_OK : EXIT_FAILURE;
}

}  // namespace

}  // namespace auburnfold

int main(int argc, char** argv) {
  try {
    return auburnfold::Run(auburnfold::ReadCommandLine(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << " " << error.error() << "\n";
    return EX_USAGE;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return EX_USAGE;
  }
}
