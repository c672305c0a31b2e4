#ifndef LIBRUNTIME_WIRE_DIALECT_H_
#define LIBRUNTIME_WIRE_DIALECT_H_

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
#include "LibRuntime/endpoint_report.h"
#include "LibRuntime/headers.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

/// What a caller asked for.
struct caller_request {
  request_metadata metadata;
  /// Set if the caller names no service: the routes name it.
  std::optional<route_target> target;
  /// The endpoint beside the node may have sent it, without a word of the work
  /// that it is for.
  bool may_have_parent = false;
};

/// An error that a caller is answered with.
struct caller_error {
  error_kind kind;
  execution_state execution = execution_state::kNotExecuted;
  duration retry_after{};
  request_id request;
  std::string_view reason;
};

/// What an endpoint is told with a request.
struct endpoint_hand_over {
  const request_metadata& metadata;
  duration time_left{};
  /// The endpoint that must run it; empty if any may that answers there.
  const endpoint_name& endpoint;
  /// Names the work to this node.
  const std::string& parent;
};

/// How callers, and the endpoint beside a node, speak to it over HTTP. Nodes
/// speak to each other in one way, whatever the dialect.
template <class type>
concept wire_dialect = requires(const type& dialect,
                                const http_request& request,
                                http::fields& headers,
                                http_response& response,
                                const endpoint_hand_over& hand_over,
                                const caller_error& error,
                                const request_id& id) {
  /// Reads a caller's request. Fails with `request_error`.
  { dialect.ReadCaller(request) } -> std::same_as<leaf::result<caller_request>>;
  /// Adds what an endpoint is to know of where a request began.
  { dialect.MarkOrigin(headers) } -> std::same_as<void>;
  /// Adds what an endpoint is to know about a request.
  { dialect.WriteToEndpoint(headers, hand_over) } -> std::same_as<void>;
  /// The header that an answer repeats from its request; empty if none does.
  { dialect.echoed_header() } -> std::same_as<std::string_view>;
  /// An answer without a length ends with its connection, if that ends in
  /// order; otherwise such an answer counts as truncated.
  { dialect.lets_connection_end_answer() } -> std::same_as<bool>;
  /// What an endpoint's whole answer says about the request.
  { dialect.ReadEndpointAnswer(response) } -> std::same_as<outcome>;
  /// Marks an endpoint's whole answer to a caller.
  { dialect.MarkWhole(response, id) } -> std::same_as<void>;
  /// An answer of this node's own.
  { dialect.MakeError(error) } -> std::same_as<http_response>;
  /// Whether a request at the call port is a report of the endpoint.
  { dialect.IsReport(request) } -> std::same_as<bool>;
  /// What an endpoint answers when it is asked how it is; nothing if it is not
  /// ready.
  {
    dialect.ReadEndpointState(response)
    } -> std::same_as<std::optional<endpoint_reported>>;
  /// Reads how the endpoint describes itself. Fails with `request_error`.
  {
    dialect.ReadReport(request)
    } -> std::same_as<leaf::result<endpoint_report>>;
};

/// Holds any dialect.
class any_wire_dialect {
 public:
  template <wire_dialect type>
  explicit any_wire_dialect(type dialect)
      : dialect_(std::make_shared<model<type>>(std::move(dialect))) {}

  leaf::result<caller_request> ReadCaller(const http_request& request) const {
    return dialect_->ReadCaller(request);
  }
  void MarkOrigin(http::fields& headers) const {
    dialect_->MarkOrigin(headers);
  }
  void WriteToEndpoint(http::fields& headers,
                       const endpoint_hand_over& hand_over) const {
    dialect_->WriteToEndpoint(headers, hand_over);
  }
  std::string_view echoed_header() const { return dialect_->echoed_header(); }
  bool lets_connection_end_answer() const {
    return dialect_->lets_connection_end_answer();
  }
  outcome ReadEndpointAnswer(http_response& response) const {
    return dialect_->ReadEndpointAnswer(response);
  }
  void MarkWhole(http_response& response, const request_id& request) const {
    dialect_->MarkWhole(response, request);
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
    virtual leaf::result<caller_request> ReadCaller(
        const http_request& request) const = 0;
    virtual void MarkOrigin(http::fields& headers) const = 0;
    virtual void WriteToEndpoint(http::fields& headers,
                                 const endpoint_hand_over& hand_over) const = 0;
    virtual std::string_view echoed_header() const = 0;
    virtual bool lets_connection_end_answer() const = 0;
    virtual outcome ReadEndpointAnswer(http_response& response) const = 0;
    virtual void MarkWhole(http_response& response,
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

    leaf::result<caller_request> ReadCaller(
        const http_request& request) const override {
      return dialect.ReadCaller(request);
    }
    void MarkOrigin(http::fields& headers) const override {
      dialect.MarkOrigin(headers);
    }
    void WriteToEndpoint(http::fields& headers,
                         const endpoint_hand_over& hand_over) const override {
      dialect.WriteToEndpoint(headers, hand_over);
    }
    std::string_view echoed_header() const override {
      return dialect.echoed_header();
    }
    bool lets_connection_end_answer() const override {
      return dialect.lets_connection_end_answer();
    }
    outcome ReadEndpointAnswer(http_response& response) const override {
      return dialect.ReadEndpointAnswer(response);
    }
    void MarkWhole(http_response& response,
                   const request_id& request) const override {
      dialect.MarkWhole(response, request);
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

#endif  // LIBRUNTIME_WIRE_DIALECT_H_
