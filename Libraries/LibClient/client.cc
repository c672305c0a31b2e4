#include "LibClient/client.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <random>
#include <thread>
#include <utility>

#include "LibClient/node_connection.h"
#include "LibClient/resend_policy.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

std::string MakeRequestId(std::random_device& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kLength = 32;
  std::uniform_int_distribution<std::size_t> pick(0, kDigits.size() - 1);
  std::string text(kLength, '0');
  std::generate(text.begin(), text.end(),
                [&] { return kDigits[pick(random)]; });
  return text;
}

node_connection::request_type MakeRequest(const client_call& call,
                                          const std::string& id) {
  node_connection::request_type request;
  request.version(kHttp11);
  request.method_string(call.method);
  request.target(call.target);
  for (const auto& [name, value] : call.headers) {
    request.insert(name, value);
  }
  request.set(kServiceHeader, call.service.value());
  request.set(kClassHeader, call.request_class.value());
  request.set(kTenantHeader, call.tenant.value());
  request.set(kRequestIdHeader, id);
  if (call.key) {
    request.set(kKeyHeader, call.key->value());
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// What is certain about all sends, from what is certain about each.
execution_state Worse(execution_state left, execution_state right) {
  return std::max(left, right, [](execution_state one, execution_state other) {
    const auto rank = [](execution_state state) {
      switch (state) {
        case execution_state::kNotExecuted:
          return 0;
        case execution_state::kUnknown:
          return 1;
        case execution_state::kExecuted:
          return 2;
      }
      return 1;
    };
    return rank(one) < rank(other);
  });
}

}  // namespace

struct client::parts {
  explicit parts(client_options chosen) : options(std::move(chosen)) {
    if (!options.wait) {
      options.wait = [](std::chrono::milliseconds length) {
        std::this_thread::sleep_for(length);
      };
    }
    for (const call_address& address : options.nodes) {
      connections.push_back(std::make_unique<node_connection>(io, address));
    }
  }

  client_answer Call(const client_call& call);
  client_answer SendOnce(node_connection::request_type& request,
                         std::uint16_t attempt,
                         node_connection::clock::time_point deadline);

  client_options options;
  boost::asio::io_context io{1};
  std::vector<std::unique_ptr<node_connection>> connections;
  std::size_t next_node = 0;
  std::random_device random;
};

client_answer client::parts::Call(const client_call& call) {
  const auto deadline = node_connection::clock::now() + call.timeout;
  node_connection::request_type request =
      MakeRequest(call, MakeRequestId(random));
  execution_state execution = execution_state::kNotExecuted;
  for (std::uint16_t attempt = 1;; ++attempt) {
    client_answer answer = SendOnce(request, attempt, deadline);
    answer.sends = attempt;
    execution = Worse(execution, answer.execution);
    const auto wait = WaitBeforeResend(call, answer);
    const bool fits = wait && node_connection::clock::now() + *wait < deadline;
    if (!fits || attempt >= options.most_sends) {
      answer.execution = execution;
      return answer;
    }
    next_node = (next_node + 1) % connections.size();
    if (*wait > std::chrono::milliseconds::zero()) {
      options.wait(*wait);
    }
  }
}

client_answer client::parts::SendOnce(
    node_connection::request_type& request,
    std::uint16_t attempt,
    node_connection::clock::time_point deadline) {
  const auto left = std::chrono::floor<std::chrono::milliseconds>(
      deadline - node_connection::clock::now());
  request.set(kTimeoutHeader,
              std::to_string(std::max<std::int64_t>(left.count(), 1)));
  if (attempt > 1) {
    request.set(kAttemptHeader, std::to_string(attempt));
  }
  return connections[next_node]->Exchange(request, deadline);
}

client::client(client_options options)
    : parts_(std::make_unique<parts>(std::move(options))) {}
client::~client() = default;

client_answer client::Call(const client_call& call) {
  return parts_->Call(call);
}

boost::leaf::result<idempotency_key> client::ObtainKey(
    const service_name& service,
    const class_name& request_class,
    std::chrono::milliseconds timeout) {
  client_call call;
  call.service = service;
  call.request_class = request_class;
  call.target = "/auburnfold/v1/keys";
  call.timeout = timeout;
  // An issued key that nobody learns of does no harm.
  call.is_idempotent = true;
  client_answer answer = Call(call);
  if (!answer.is_complete() || answer.body.empty()) {
    return boost::leaf::new_error(std::move(answer));
  }
  return idempotency_key(std::move(answer.body));
}

}  // namespace auburnfold
