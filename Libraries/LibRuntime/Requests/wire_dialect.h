#ifndef LIBRUNTIME_REQUESTS_WIRE_DIALECT_H_
#define LIBRUNTIME_REQUESTS_WIRE_DIALECT_H_

#include <boost/leaf/result.hpp>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibDecision/error_kind.h"
#include "LibDecision/event.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_metadata.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Requests/endpoint_report.h"
#include "LibRuntime/Requests/headers.h"

namespace auburnfold {

/// A caller's request, as read from its headers.
struct caller_request {
  request_metadata metadata;
  /// Set if the caller names no service; the routes then determine it.
  std::optional<route_target> target;
  /// The request may be a child call of the local endpoint that does not name
  /// its parent.
  bool may_have_parent = false;
  /// The `parent_token` that the caller named, as text; empty if none.
  std::string parent;
  /// The API key that the caller presented.
  std::optional<api_key> key;
};

/// An error to answer a caller with.
struct caller_error {
  error_kind kind;
  execution_state execution = execution_state::kNotExecuted;
  duration retry_after{};
  request_id request;
  std::string_view reason;
};

/// What the headers of a request to an endpoint are made from.
struct endpoint_request {
  const request_metadata& metadata;
  duration time_left{};
  /// The endpoint that must execute the request; empty if whichever endpoint
  /// listens at the address may.
  const endpoint_name& endpoint;
  /// The `parent_token` of the work, as text.
  const std::string& parent;
};

/// The HTTP interface between a node and its callers and local endpoint. The
/// interface between nodes does not depend on the dialect.
template <class type>
concept wire_dialect = requires(const type& dialect,
                                const http_request& request,
                                http::fields& headers,
                                http_response& response,
                                const endpoint_request& forwarded,
                                const caller_error& error,
                                const request_metadata& metadata,
                                const request_id& id) {
  /// Reads a caller's request. Fails with `request_error`.
  {
    dialect.ReadCallerRequest(request)
    } -> std::same_as<leaf::result<caller_request>>;
  /// Replaces headers that tell the endpoint where the request originated, and
  /// removes those that only this node may see.
  { dialect.AddOriginHeaders(headers) } -> std::same_as<void>;
  /// What tells requests with the same method, target and body apart: where
  /// they go and who sends them. The request has its origin headers.
  { dialect.IdentityOf(request, metadata) } -> std::same_as<std::string>;
  /// Adds the headers that the endpoint reads.
  { dialect.AddEndpointHeaders(headers, forwarded) } -> std::same_as<void>;
  /// The request header that a response repeats; empty if there is none.
  { dialect.echoed_header() } -> std::same_as<std::string_view>;
  /// Whether a response without a length ends when the peer closes the
  /// connection cleanly; otherwise such a response counts as truncated.
  { dialect.allows_close_delimited_responses() } -> std::same_as<bool>;
  /// Reads the outcome from an endpoint's complete response.
  { dialect.ReadEndpointOutcome(response) } -> std::same_as<outcome>;
  /// Marks a response to a caller as a complete answer.
  { dialect.MarkComplete(response, id) } -> std::same_as<void>;
  /// Builds the response for an error of this node.
  { dialect.MakeError(error) } -> std::same_as<http_response>;
  /// Whether a request at the call port is an endpoint's report.
  { dialect.IsReport(request) } -> std::same_as<bool>;
  /// Reads an endpoint's response to a probe; nothing if it is not ready.
  {
    dialect.ReadEndpointState(response)
    } -> std::same_as<std::optional<endpoint_reported>>;
  /// Reads an endpoint's report. Fails with `request_error`.
  {
    dialect.ReadReport(request)
    } -> std::same_as<leaf::result<endpoint_report>>;
};

/// Type-erased holder of any `wire_dialect`.
class any_wire_dialect {
 public:
  template <wire_dialect type>
  explicit any_wire_dialect(type dialect)
      : dialect_(std::make_shared<model<type>>(std::move(dialect))) {}

  leaf::result<caller_request> ReadCallerRequest(
      const http_request& request) const {
    return dialect_->ReadCallerRequest(request);
  }
  void AddOriginHeaders(http::fields& headers) const {
    dialect_->AddOriginHeaders(headers);
  }
  std::string IdentityOf(const http_request& request,
                         const request_metadata& metadata) const {
    return dialect_->IdentityOf(request, metadata);
  }
  void AddEndpointHeaders(http::fields& headers,
                          const endpoint_request& forwarded) const {
    dialect_->AddEndpointHeaders(headers, forwarded);
  }
  std::string_view echoed_header() const { return dialect_->echoed_header(); }
  bool allows_close_delimited_responses() const {
    return dialect_->allows_close_delimited_responses();
  }
  outcome ReadEndpointOutcome(http_response& response) const {
    return dialect_->ReadEndpointOutcome(response);
  }
  void MarkComplete(http_response& response, const request_id& request) const {
    dialect_->MarkComplete(response, request);
  }
  http_response MakeError(const caller_error& error) const {
    return dialect_->MakeError(error);
  }
  bool IsReport(const http_request& request) const {
    return dialect_->IsReport(request);
  }
  leaf::result<endpoint_report> ReadReport(const http_request& request) const {
    return dialect_->ReadReport(request);
  }
  std::optional<endpoint_reported> ReadEndpointState(
      const http_response& response) const {
    return dialect_->ReadEndpointState(response);
  }

 private:
  struct interface {
    virtual ~interface() = default;
    virtual leaf::result<caller_request> ReadCallerRequest(
        const http_request& request) const = 0;
    virtual void AddOriginHeaders(http::fields& headers) const = 0;
    virtual std::string IdentityOf(const http_request& request,
                                   const request_metadata& metadata) const = 0;
    virtual void AddEndpointHeaders(
        http::fields& headers,
        const endpoint_request& forwarded) const = 0;
    virtual std::string_view echoed_header() const = 0;
    virtual bool allows_close_delimited_responses() const = 0;
    virtual outcome ReadEndpointOutcome(http_response& response) const = 0;
    virtual void MarkComplete(http_response& response,
                              const request_id& request) const = 0;
    virtual http_response MakeError(const caller_error& error) const = 0;
    virtual bool IsReport(const http_request& request) const = 0;
    virtual leaf::result<endpoint_report> ReadReport(
        const http_request& request) const = 0;
    virtual std::optional<endpoint_reported> ReadEndpointState(
        const http_response& response) const = 0;
  };

  template <wire_dialect type>
  struct model final : interface {
    explicit model(type held) : dialect(std::move(held)) {}

    leaf::result<caller_request> ReadCallerRequest(
        const http_request& request) const override {
      return dialect.ReadCallerRequest(request);
    }
    void AddOriginHeaders(http::fields& headers) const override {
      dialect.AddOriginHeaders(headers);
    }
    std::string IdentityOf(const http_request& request,
                           const request_metadata& metadata) const override {
      return dialect.IdentityOf(request, metadata);
    }
    void AddEndpointHeaders(http::fields& headers,
                            const endpoint_request& forwarded) const override {
      dialect.AddEndpointHeaders(headers, forwarded);
    }
    std::string_view echoed_header() const override {
      return dialect.echoed_header();
    }
    bool allows_close_delimited_responses() const override {
      return dialect.allows_close_delimited_responses();
    }
    outcome ReadEndpointOutcome(http_response& response) const override {
      return dialect.ReadEndpointOutcome(response);
    }
    void MarkComplete(http_response& response,
                      const request_id& request) const override {
      dialect.MarkComplete(response, request);
    }
    http_response MakeError(const caller_error& error) const override {
      return dialect.MakeError(error);
    }
    bool IsReport(const http_request& request) const override {
      return dialect.IsReport(request);
    }
    leaf::result<endpoint_report> ReadReport(
        const http_request& request) const override {
      return dialect.ReadReport(request);
    }
    std::optional<endpoint_reported> ReadEndpointState(
        const http_response& response) const override {
      return dialect.ReadEndpointState(response);
    }

    type dialect;
  };

  std::shared_ptr<const interface> dialect_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_WIRE_DIALECT_H_
