#include "LibRuntime/Requests/headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <vector>

#include "LibRuntime/Connections/response_status.h"
#include "LibRuntime/Requests/hexadecimal.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxIdLength = 128;
constexpr std::uint64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kHighestPriority = 7;
constexpr std::string_view kDefaultTenant = "default";

using enum error_kind;

// Headers that concern one connection only, and `Expect`, which the node has
// already fulfilled by reading the complete body.
constexpr std::array kHopByHop{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::expect,
    http::field::content_length,
};

bool IsNameCharacter(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || (c >= '0' && c <= '9') || c == '.' || c == '_' ||
         c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

std::string_view HeaderValue(const http::fields& headers,
                             std::string_view name) {
  return headers[name];
}

std::optional<std::uint64_t> ReadNumber(const http::fields& headers,
                                        std::string_view name,
                                        std::uint64_t max) {
  const std::optional<std::uint64_t> value =
      ParseDecimal(HeaderValue(headers, name));
  if (!value || *value > max) {
    return std::nullopt;
  }
  return value;
}

template <class number>
number ReadNumberOrZero(const http::fields& headers, std::string_view name) {
  return static_cast<number>(
      ReadNumber(headers, name, std::numeric_limits<number>::max())
          .value_or(0));
}

std::optional<route_version> ReadRoutes(const http::fields& headers) {
  const std::optional<std::uint64_t> version =
      ParseDecimal(HeaderValue(headers, kRoutesHeader));
  return version ? std::optional(route_version(*version)) : std::nullopt;
}

std::optional<duration> ReadRoutesAge(const http::fields& headers) {
  constexpr std::int64_t kMaxAgeMs = std::int64_t{1} << 40;
  const std::string_view text = HeaderValue(headers, kRoutesAgeHeader);
  std::int64_t value = 0;
  const char* text_end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data(), text_end, value);
  const bool is_age = error == std::errc() && parsed_end == text_end &&
                      value <= kMaxAgeMs && value >= -kMaxAgeMs;
  return is_age ? std::optional<duration>(std::chrono::milliseconds(value))
                : std::nullopt;
}

void WriteCrashChecksum(http::fields& headers, std::uint64_t checksum) {
  if (checksum != 0) {
    headers.set(kCrashesHeader, ToHexadecimal(checksum));
  }
}

std::uint64_t ReadCrashChecksum(const http::fields& headers) {
  return ParseHexadecimal(HeaderValue(headers, kCrashesHeader)).value_or(0);
}

leaf::error_id Malformed(std::string_view reason) {
  return leaf::new_error(request_error{kMalformedRequest, reason});
}

leaf::result<duration> ReadTimeout(const http::fields& headers) {
  const std::string_view text = HeaderValue(headers, kTimeoutHeader);
  if (text.empty()) {
    return leaf::new_error(
        request_error{kDeadlineMissing, "Auburnfold-Timeout-Ms is missing"});
  }
  const std::optional<std::uint64_t> value = ParseDecimal(text);
  if (!value || *value > kMaxTimeoutMs) {
    return Malformed("Auburnfold-Timeout-Ms must be 1 to 600000");
  }
  if (*value == 0) {
    return leaf::new_error(
        request_error{kDeadlineExpired, "no time is left for the request"});
  }
  return std::chrono::milliseconds(*value);
}

leaf::result<void> ReadNames(const http::fields& headers,
                             request_metadata& metadata) {
  const std::string_view service = HeaderValue(headers, kServiceHeader);
  const std::string_view request_class = HeaderValue(headers, kClassHeader);
  if (!IsName(service)) {
    return Malformed("Auburnfold-Service must be a name of 1 to 64 characters");
  }
  if (!IsName(request_class)) {
    return Malformed("Auburnfold-Class must be a name of 1 to 64 characters");
  }
  metadata.service = service_name(std::string(service));
  metadata.request_class = class_name(std::string(request_class));
  return {};
}

leaf::result<void> ReadTenant(const http::fields& headers,
                              request_metadata& metadata) {
  std::string_view tenant = HeaderValue(headers, kTenantHeader);
  if (tenant.empty()) {
    tenant = kDefaultTenant;
  }
  if (!IsName(tenant)) {
    return Malformed("Auburnfold-Tenant must be a name of 1 to 64 characters");
  }
  metadata.tenant = tenant_name(std::string(tenant));
  return {};
}

leaf::result<void> ReadIds(const http::fields& headers,
                           request_metadata& metadata) {
  const std::string_view root = HeaderValue(headers, kRequestIdHeader);
  if (!root.empty()) {
    if (!IsId(root)) {
      return Malformed("Auburnfold-Request-Id must be 1 to 128 characters");
    }
    metadata.root = request_id(std::string(root));
  }
  const std::string_view key = HeaderValue(headers, kIdempotencyKeyHeader);
  if (!key.empty()) {
    if (!IsId(key)) {
      return Malformed("Idempotency-Key must be 1 to 128 characters");
    }
    metadata.key = idempotency_key(std::string(key));
  }
  return {};
}

leaf::result<void> ReadAttempt(const http::fields& headers,
                               request_metadata& metadata) {
  if (HeaderValue(headers, kAttemptHeader).empty()) {
    return {};
  }
  const std::optional<std::uint64_t> attempt = ReadNumber(
      headers, kAttemptHeader, std::numeric_limits<std::uint16_t>::max());
  if (!attempt || *attempt == 0) {
    return Malformed("Auburnfold-Attempt must be 1 to 65535");
  }
  metadata.client_attempt = static_cast<std::uint16_t>(*attempt);
  return {};
}

leaf::result<request_metadata> ReadRequestHeaders(const http::fields& headers) {
  request_metadata metadata;
  BOOST_LEAF_CHECK(ReadNames(headers, metadata));
  BOOST_LEAF_ASSIGN(metadata.time_left, ReadTimeout(headers));
  BOOST_LEAF_CHECK(ReadIds(headers, metadata));
  BOOST_LEAF_CHECK(ReadAttempt(headers, metadata));
  return metadata;
}

std::optional<request_rate> ParseRate(std::string_view text) {
  double value = 0;
  const char* text_end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data(), text_end, value, std::chars_format::fixed);
  const bool is_rate = error == std::errc() && parsed_end == text_end &&
                       std::isfinite(value) && !std::signbit(value);
  return is_rate ? std::optional(request_rate(value)) : std::nullopt;
}

std::string FormatRate(request_rate rate) {
  std::array<char, 32> text{};
  const auto [text_end, error] =
      std::to_chars(text.data(), text.data() + text.size(), rate.value(),
                    std::chars_format::fixed);
  return {text.data(), error == std::errc() ? text_end : text.data()};
}

// Only a notice names the run of an endpoint.
std::optional<endpoint_notice> ReadNotice(const http::fields& headers) {
  const std::optional<std::uint64_t> run =
      ParseDecimal(HeaderValue(headers, kEndpointRunHeader));
  if (!run) {
    return std::nullopt;
  }
  return endpoint_notice{
      .endpoint =
          endpoint_name(std::string(HeaderValue(headers, kEndpointHeader))),
      .run = incarnation(*run),
      .rate_limit = ParseRate(HeaderValue(headers, kRateLimitHeader)),
      .is_leaving = HeaderValue(headers, kLeavingHeader) == "1"};
}

leaf::result<void> ReadCallTreeHeaders(const http::fields& headers,
                                       request_metadata& metadata) {
  metadata.allowance =
      ReadNumberOrZero<std::uint16_t>(headers, kAllowanceHeader);
  metadata.depth = ReadNumberOrZero<std::uint16_t>(headers, kDepthHeader);
  if (!HeaderValue(headers, kPriorityHeader).empty()) {
    const std::optional<std::uint64_t> priority =
        ReadNumber(headers, kPriorityHeader, kHighestPriority);
    if (!priority) {
      return Malformed("Auburnfold-Priority must be 0 to 7");
    }
    metadata.priority = static_cast<std::uint8_t>(*priority);
  }
  const std::string_view own_id = HeaderValue(headers, kOwnIdHeader);
  metadata.own_id =
      own_id.empty() ? metadata.root : request_id(std::string(own_id));
  metadata.objective = std::chrono::milliseconds(
      ReadNumberOrZero<std::uint32_t>(headers, kObjectiveHeader));
  metadata.is_repeat = !HeaderValue(headers, kRepeatHeader).empty();
  metadata.answered_siblings =
      ReadNumberOrZero<std::uint16_t>(headers, kSiblingsHeader);
  if (!HeaderValue(headers, kForeignKeyHeader).empty()) {
    metadata.key.reset();
  }
  metadata.routes = ReadRoutes(headers);
  metadata.crash_checksum = ReadCrashChecksum(headers);
  metadata.notice = ReadNotice(headers);
  const std::string_view purpose = HeaderValue(headers, kPurposeHeader);
  if (purpose == kIssueKeyPurpose) {
    metadata.purpose = request_purpose::kIssueKey;
  }
  return {};
}

// Compares the prefix directly because this runs for each header of each
// request.
bool IsAuburnfoldHeader(std::string_view name) {
  return name.size() > kHeaderPrefix.size() &&
         beast::iequals(name.substr(0, kHeaderPrefix.size()), kHeaderPrefix);
}

void Set(http::fields& headers, std::string_view name, std::uint64_t value) {
  headers.set(name, std::to_string(value));
}

void WriteRoutes(http::fields& headers,
                 const std::optional<route_version>& routes) {
  if (routes) {
    Set(headers, kRoutesHeader, routes->value());
  }
}

void WriteNotice(http::fields& headers,
                 const std::optional<endpoint_notice>& notice) {
  if (!notice) {
    return;
  }
  if (!notice->endpoint.value().empty()) {
    headers.set(kEndpointHeader, notice->endpoint.value());
  }
  Set(headers, kEndpointRunHeader, notice->run.value());
  if (notice->rate_limit) {
    headers.set(kRateLimitHeader, FormatRate(*notice->rate_limit));
  }
  if (notice->is_leaving) {
    headers.set(kLeavingHeader, "1");
  }
}

std::uint64_t MillisecondsRoundedUp(duration length) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(length).count());
}

void WriteCallerHeaders(http::fields& headers,
                        const request_metadata& metadata,
                        duration time_left) {
  headers.set(kServiceHeader, metadata.service.value());
  headers.set(kClassHeader, metadata.request_class.value());
  headers.set(kTenantHeader, metadata.tenant.value());
  headers.set(kRequestIdHeader, metadata.root.value());
  // Rounded down, so that the next hop never assumes more time than is left.
  Set(headers, kTimeoutHeader,
      static_cast<std::uint64_t>(std::max<std::int64_t>(
          std::chrono::floor<std::chrono::milliseconds>(time_left).count(),
          0)));
  if (metadata.client_attempt > 1) {
    Set(headers, kAttemptHeader, metadata.client_attempt);
  }
}

answer_metadata ReadAnswerMetadata(const http::fields& headers) {
  answer_metadata metadata;
  metadata.level = ReadNumberOrZero<std::uint16_t>(headers, kLevelHeader);
  metadata.allowance_left =
      ReadNumberOrZero<std::uint16_t>(headers, kAllowanceLeftHeader);
  metadata.in_flight =
      ReadNumberOrZero<std::uint32_t>(headers, kInFlightHeader);
  metadata.capacity = ReadNumberOrZero<std::uint32_t>(headers, kCapacityHeader);
  metadata.retry_after = std::chrono::milliseconds(
      ReadNumberOrZero<std::uint32_t>(headers, kRetryAfterMsHeader));
  metadata.send_interval = std::chrono::milliseconds(
      ReadNumberOrZero<std::uint32_t>(headers, kSendIntervalHeader));
  metadata.has_failed_child_call =
      !HeaderValue(headers, kFailedBelowHeader).empty();
  metadata.grants_retry = !HeaderValue(headers, kRetryGrantedHeader).empty();
  metadata.is_cold = HeaderValue(headers, kColdHeader) == "1";
  metadata.newer_routes = ReadRoutes(headers);
  metadata.routes_confirmed_age = ReadRoutesAge(headers);
  metadata.crash_checksum = ReadCrashChecksum(headers);
  metadata.notice = ReadNotice(headers);
  return metadata;
}

execution_state ParseExecutionState(const http::fields& headers) {
  const std::string_view text = HeaderValue(headers, kRanHeader);
  if (text == NameOf(execution_state::kNotExecuted)) {
    return execution_state::kNotExecuted;
  }
  if (text == NameOf(execution_state::kExecuted)) {
    return execution_state::kExecuted;
  }
  return execution_state::kUnknown;
}

}  // namespace

leaf::result<request_metadata> ReadCallerHeaders(const http::fields& headers) {
  BOOST_LEAF_AUTO(metadata, ReadRequestHeaders(headers));
  BOOST_LEAF_CHECK(ReadTenant(headers, metadata));
  return metadata;
}

// Older nodes do not send the header.
leaf::result<std::optional<attempt_key>> ReadAttemptKey(
    const http::fields& headers,
    node_id from) {
  const std::string_view sent = HeaderValue(headers, kSentHeader);
  if (sent.empty()) {
    return std::nullopt;
  }
  const std::size_t separator = std::min(sent.find('-'), sent.size());
  const auto run = ParseDecimal(sent.substr(0, separator));
  const auto number =
      ParseDecimal(sent.substr(std::min(separator + 1, sent.size())));
  if (!run || !number) {
    return Malformed("Auburnfold-Sent must be two numbers and a hyphen");
  }
  return attempt_key{from, incarnation(*run), attempt_id(*number)};
}

leaf::result<forwarded_metadata> ReadForwardedHeaders(
    const http::fields& headers) {
  forwarded_metadata read;
  BOOST_LEAF_ASSIGN(read.metadata, ReadRequestHeaders(headers));
  // Any name, or none: the forwarding node has determined the tenant.
  read.metadata.tenant =
      tenant_name(std::string(HeaderValue(headers, kTenantHeader)));
  BOOST_LEAF_CHECK(ReadCallTreeHeaders(headers, read.metadata));
  const std::optional<std::uint64_t> from =
      ParseHexadecimal(HeaderValue(headers, kFromHeader));
  const std::optional<std::uint64_t> run =
      ParseDecimal(HeaderValue(headers, kExpectedRunHeader));
  if (!from || !run) {
    return Malformed("Auburnfold-From and Auburnfold-Expected-Run are needed");
  }
  read.from = node_id(*from);
  read.expected_run = incarnation(*run);
  BOOST_LEAF_ASSIGN(read.attempt, ReadAttemptKey(headers, read.from));
  return read;
}

void StripHeaders(http::fields& headers) {
  std::vector<std::string> named;
  for (const auto token : http::token_list(headers[http::field::connection])) {
    named.emplace_back(token);
  }
  for (auto next = headers.begin(); next != headers.end();) {
    const bool is_hop_by_hop = std::find(kHopByHop.begin(), kHopByHop.end(),
                                         next->name()) != kHopByHop.end();
    const std::string_view name = next->name_string();
    const bool is_named = std::any_of(
        named.begin(), named.end(),
        [name](const std::string& one) { return beast::iequals(one, name); });
    next = is_hop_by_hop || is_named || IsAuburnfoldHeader(name)
               ? headers.erase(next)
               : std::next(next);
  }
}

void WriteForwardedHeaders(http::fields& headers,
                           const request_metadata& metadata,
                           const attempt_key& attempt,
                           incarnation expected_run) {
  WriteCallerHeaders(headers, metadata, metadata.time_left);
  headers.set(kFromHeader, ToHexadecimal(attempt.sender.value()));
  headers.set(kSentHeader, std::to_string(attempt.sender_run.value()) + '-' +
                               std::to_string(attempt.attempt.value()));
  Set(headers, kExpectedRunHeader, expected_run.value());
  Set(headers, kAllowanceHeader, metadata.allowance);
  Set(headers, kDepthHeader, metadata.depth);
  if (metadata.own_id != metadata.root && !metadata.own_id.value().empty()) {
    headers.set(kOwnIdHeader, metadata.own_id.value());
  }
  if (metadata.objective > duration::zero()) {
    Set(headers, kObjectiveHeader, MillisecondsRoundedUp(metadata.objective));
  }
  if (!metadata.key && !HeaderValue(headers, kIdempotencyKeyHeader).empty()) {
    headers.set(kForeignKeyHeader, "1");
  }
  if (metadata.is_repeat) {
    headers.set(kRepeatHeader, "1");
  }
  if (metadata.answered_siblings > 0) {
    Set(headers, kSiblingsHeader, metadata.answered_siblings);
  }
  if (metadata.priority) {
    Set(headers, kPriorityHeader, *metadata.priority);
  }
  WriteRoutes(headers, metadata.routes);
  WriteCrashChecksum(headers, metadata.crash_checksum);
  WriteNotice(headers, metadata.notice);
  switch (metadata.purpose) {
    case request_purpose::kExecute:
      return;
    case request_purpose::kIssueKey:
      return headers.set(kPurposeHeader, kIssueKeyPurpose);
  }
}

void WriteEndpointHeaders(http::fields& headers,
                          const request_metadata& metadata,
                          duration time_left,
                          const std::string& parent) {
  WriteCallerHeaders(headers, metadata, time_left);
  headers.set(kParentHeader, parent);
}

void WriteAnswerMetadata(http::fields& headers,
                         const answer_metadata& metadata) {
  // Zero values are omitted: traffic between failure domains is expensive.
  if (metadata.level > 0) {
    Set(headers, kLevelHeader, metadata.level);
  }
  if (metadata.allowance_left > 0) {
    Set(headers, kAllowanceLeftHeader, metadata.allowance_left);
  }
  if (metadata.in_flight > 0) {
    Set(headers, kInFlightHeader, metadata.in_flight);
  }
  if (metadata.capacity > 0) {
    Set(headers, kCapacityHeader, metadata.capacity);
  }
  if (metadata.retry_after > duration::zero()) {
    Set(headers, kRetryAfterMsHeader,
        MillisecondsRoundedUp(metadata.retry_after));
  }
  if (metadata.send_interval > duration::zero()) {
    Set(headers, kSendIntervalHeader,
        MillisecondsRoundedUp(metadata.send_interval));
  }
  if (metadata.has_failed_child_call) {
    headers.set(kFailedBelowHeader, "1");
  }
  if (metadata.grants_retry) {
    headers.set(kRetryGrantedHeader, "1");
  }
  if (metadata.is_cold) {
    headers.set(kColdHeader, "1");
  }
  WriteRoutes(headers, metadata.newer_routes);
  if (metadata.routes_confirmed_age) {
    headers.set(kRoutesAgeHeader,
                std::to_string(std::chrono::ceil<std::chrono::milliseconds>(
                                   *metadata.routes_confirmed_age)
                                   .count()));
  }
  WriteCrashChecksum(headers, metadata.crash_checksum);
  WriteNotice(headers, metadata.notice);
}

outcome ReadPeerOutcome(const http_response& response) {
  outcome result;
  const std::string_view name = HeaderValue(response, kResultHeader);
  if (name.empty()) {
    // The response is not from a node, so whether the request was executed is
    // unknown.
    return {.error = kInternal, .execution = execution_state::kUnknown};
  }
  result.peer = ReadAnswerMetadata(response);
  result.body_size = response.body().size();
  if (name == kCompleteResult) {
    result.is_failure = IsFailureStatus(response.result_int());
    return result;
  }
  result.error = ParseErrorKind(name).value_or(kInternal);
  result.execution = ParseExecutionState(response);
  return result;
}

// Of several values none can be preferred.
endpoint_signals ReadEndpointSignals(const http::fields& headers,
                                     std::string_view rate_limit_name,
                                     std::string_view leaving_name) {
  endpoint_signals signals;
  signals.is_leaving = HeaderValue(headers, leaving_name) == "1";
  const std::size_t count = headers.count(rate_limit_name);
  if (count > 0) {
    signals.rate_limit = ParseRate(HeaderValue(headers, rate_limit_name));
    if (count > 1) {
      signals.rate_limit.reset();
    }
    signals.has_unreadable_rate_limit = !signals.rate_limit;
  }
  return signals;
}

bool IsEndpointRefusal(const http_response& response) {
  return response.result() == http::status::service_unavailable &&
         ParseExecutionState(response) == execution_state::kNotExecuted;
}

}  // namespace auburnfold
