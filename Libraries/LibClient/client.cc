#include "LibClient/client.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <random>
#include <thread>
#include <utility>

#include "LibClient/client_retry_policy.h"
#include "LibClient/node_connection.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

std::string MakeRequestId(std::random_device& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kIdLength = 32;
  std::uniform_int_distribution<std::size_t> digit_index(0, kDigits.size() - 1);
  std::string text(kIdLength, '0');
  std::generate(text.begin(), text.end(),
                [&] { return kDigits[digit_index(random)]; });
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
    request.set(kIdempotencyKeyHeader, call.key->value());
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// Returns what is known about two attempts together: executed if either was
// executed, otherwise unknown if either is unknown.
execution_state CombineExecutionStates(execution_state first,
                                       execution_state second) {
  return std::max(first, second,
                  [](execution_state left, execution_state right) {
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
                    return rank(left) < rank(right);
                  });
}

}  // namespace

struct client::impl {
  explicit impl(client_options initial_options)
      : options(std::move(initial_options)) {
    if (!options.wait) {
      options.wait = [](std::chrono::milliseconds delay) {
        std::this_thread::sleep_for(delay);
      };
    }
    for (const call_address& address : options.nodes) {
      connections.push_back(std::make_unique<node_connection>(io, address));
    }
  }

  call_result Call(const client_call& call);
  call_result SendAttempt(node_connection::request_type& request,
                          std::uint16_t attempt,
                          node_connection::clock::time_point deadline);

  client_options options;
  boost::asio::io_context io{1};
  std::vector<std::unique_ptr<node_connection>> connections;
  std::size_t next_node = 0;
  std::random_device random;
};

call_result client::impl::Call(const client_call& call) {
  const auto deadline = node_connection::clock::now() + call.timeout;
  node_connection::request_type request =
      MakeRequest(call, MakeRequestId(random));
  execution_state execution = execution_state::kNotExecuted;
  for (std::uint16_t attempt = 1;; ++attempt) {
    call_result result = SendAttempt(request, attempt, deadline);
    result.attempts = attempt;
    execution = CombineExecutionStates(execution, result.execution);
    const auto retry_delay = ClientRetryDelay(call, result);
    const bool is_in_time =
        retry_delay && node_connection::clock::now() + *retry_delay < deadline;
    if (!is_in_time || attempt >= options.max_attempts) {
      result.execution = execution;
      return result;
    }
    next_node = (next_node + 1) % connections.size();
    if (*retry_delay > std::chrono::milliseconds::zero()) {
      options.wait(*retry_delay);
    }
  }
}

call_result client::impl::SendAttempt(
    node_connection::request_type& request,
    std::uint16_t attempt,
    node_connection::clock::time_point deadline) {
  const auto remaining = std::chrono::floor<std::chrono::milliseconds>(
      deadline - node_connection::clock::now());
  request.set(kTimeoutHeader,
              std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  if (attempt > 1) {
    request.set(kAttemptHeader, std::to_string(attempt));
  }
  return connections[next_node]->Exchange(request, deadline);
}

client::client(client_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
client::~client() = default;

call_result client::Call(const client_call& call) {
  return impl_->Call(call);
}

boost::leaf::result<idempotency_key> client::RequestIdempotencyKey(
    const service_name& service,
    const class_name& request_class,
    std::chrono::milliseconds timeout) {
  client_call call;
  call.service = service;
  call.request_class = request_class;
  call.target = "/auburnfold/v1/keys";
  call.timeout = timeout;
  // A key that is issued but lost with its response stays unused, which is
  // harmless.
  call.is_idempotent = true;
  call_result result = Call(call);
  if (!result.is_complete() || result.body.empty()) {
    return boost::leaf::new_error(std::move(result));
  }
  return idempotency_key(std::move(result.body));
}

}  // namespace auburnfold
