#include "running_node.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <future>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "LibRuntime/Control/nng_sender.h"
#include "LibRuntime/Requests/own_dialect.h"
#include "LibRuntime/node_runtime.h"
#include "LibRuntime/store_caller.h"
#include "LibWire/cbor_codec.h"
#include "raw_client.h"

namespace auburnfold::testing_support {

node_settings LoopbackSettings() {
  node_settings settings;
  settings.node = node_id(1);
  settings.host = "127.0.0.1";
  settings.domain = domain_name("a");
  settings.stop_linger = std::chrono::milliseconds(0);
  return settings;
}

constexpr std::string_view kRouteKey = "routes";

/// A store that holds one version of the routes, and nothing else.
void AnswerWithRoutes(const store_request& request,
                      const store_response_handler& done) {
  store_result result{.revision = store_revision(1)};
  if (const auto* list = std::get_if<store_list>(&request)) {
    if (list->prefix == kRouteKey) {
      result.entries.push_back(
          {std::string(kRouteKey), "1", store_revision(1)});
    }
    return done(std::move(result));
  }
  if (!std::holds_alternative<store_watch>(request)) {
    done({.status = store_status::kUnavailable});
  }
}

struct running_node::parts {
  parts(const node_settings& settings,
        any_wire_dialect dialect,
        const node_options& options,
        const std::function<void(node_runtime&)>& prepare)
      : node(io, settings, std::move(dialect), options) {
    prepare(node);
    node.SetStoppedHandler([this] { io.stop(); });
    is_started = leaf::try_handle_all(
        [this]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(node.Start());
          return true;
        },
        [] { return false; });
    thread = std::thread([this] { io.run(); });
    control = std::make_unique<nng_sender>("127.0.0.1", node.control_port());
  }

  boost::asio::io_context io{1};
  node_runtime node;
  std::thread thread;
  std::promise<void> resumed;
  std::unique_ptr<nng_sender> control;
  bool is_started = false;
};

running_node::running_node(const node_settings& settings)
    : running_node(settings, any_wire_dialect(own_dialect())) {}

running_node::running_node(const node_settings& settings,
                           any_wire_dialect dialect)
    : parts_(std::make_unique<parts>(settings,
                                     std::move(dialect),
                                     node_options(),
                                     [](node_runtime&) {})) {
  EXPECT_TRUE(parts_->is_started);
}

running_node::running_node(const node_settings& settings,
                           std::function<void(const effect&)> before_effect)
    : parts_(std::make_unique<parts>(settings,
                                     any_wire_dialect(own_dialect()),
                                     node_options(),
                                     [&before_effect](node_runtime& node) {
                                       node.SetEffectProbe(
                                           std::move(before_effect));
                                     })) {
  EXPECT_TRUE(parts_->is_started);
}

running_node::running_node(const caller_limits& limits)
    : parts_(std::make_unique<parts>(
          LoopbackSettings(),
          any_wire_dialect(own_dialect()),
          node_options{.settings = settings_source::kRoutes,
                       .route_key = std::string(kRouteKey)},
          [&limits](node_runtime& node) {
            node.SetStoreCaller(AnswerWithRoutes);
            node.SetRouteDecoder([limits](const std::string&) {
              return route_config{.version = route_version(1),
                                  .limits = limits};
            });
          })) {
  EXPECT_TRUE(parts_->is_started);
  WaitForMetric("auburnfold_routes_taken_total", 1);
}

running_node::~running_node() {
  parts_->io.stop();
  if (parts_->thread.joinable()) {
    parts_->thread.join();
  }
}

std::uint16_t running_node::call_port() const {
  return parts_->node.call_port();
}
std::uint16_t running_node::peer_port() const {
  return parts_->node.peer_port();
}
std::uint16_t running_node::control_port() const {
  return parts_->node.control_port();
}
std::uint16_t running_node::admin_port() const {
  return parts_->node.admin_port();
}

incarnation running_node::run() const {
  return parts_->node.run();
}

std::string running_node::ForwardedHeaders() const {
  return "Auburnfold-From: 63\r\nAuburnfold-Expected-Run: " +
         std::to_string(run().value()) + "\r\n";
}

void running_node::Announce(const std::string& service,
                            std::uint16_t port,
                            const std::string& state) {
  const std::string body = R"({"service":")" + service +
                           R"(","run":1,"state":")" + state + R"(","port":)" +
                           std::to_string(port) + "}";
  const read_answer answer = raw_client::Exchange(
      call_port(),
      "PUT /auburnfold/v1/endpoint HTTP/1.1\r\nHost: test\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
  EXPECT_EQ(answer.status, 200U);
}

void running_node::AnnouncePeer(const std::string& service,
                                std::uint16_t port,
                                incarnation run) {
  member_record peer;
  peer.node = node_id(99);
  peer.run = run;
  peer.version = 1;
  peer.address = {"127.0.0.1", port, 1};
  peer.service = service_name(service);
  const double received = Metric("auburnfold_control_messages_received_total");
  SendControl(cbor_codec::Encode(
      {peer.node, peer.run, peer.address, member_update{{peer}}}));
  WaitForMetric("auburnfold_control_messages_received_total", received + 1);
}

void running_node::SendControl(const std::vector<std::uint8_t>& bytes) {
  EXPECT_TRUE(parts_->control->Send(bytes));
}

double running_node::Metric(const std::string& name) const {
  std::istringstream text(
      raw_client::Exchange(admin_port(),
                           "GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n")
          .body);
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

void running_node::WaitForMetric(const std::string& name, double value) const {
  while (Metric(name) < value) {
    std::this_thread::yield();
  }
}

void running_node::Pause() {
  std::promise<void> paused;
  boost::asio::post(
      parts_->io,
      [&paused, resumed = (parts_->resumed = {}).get_future().share()] {
        paused.set_value();
        resumed.wait();
      });
  paused.get_future().wait();
}

void running_node::Resume() {
  parts_->resumed.set_value();
}

void running_node::Stop() {
  boost::asio::post(parts_->io, [this] { parts_->node.Stop(); });
}

std::uint64_t running_node::WaitUntilStopped() {
  parts_->thread.join();
  return parts_->node.aborted_requests();
}

}  // namespace auburnfold::testing_support
