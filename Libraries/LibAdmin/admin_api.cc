#include "LibAdmin/admin_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "LibAdmin/admin_json.h"

namespace auburnfold {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view kTableSegment = "table";
constexpr std::size_t kRowPathSegmentCount = 4;

admin_api::response_type MakeResponse(http::status status,
                                      const json::value& body) {
  admin_api::response_type response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body) + "\n";
  response.prepare_payload();
  return response;
}

admin_api::response_type MakeErrorResponse(http::status status,
                                           std::string_view reason) {
  return MakeResponse(status, json::object{{"error", reason}});
}

std::string QuotedVersion(const table_row& row) {
  return '"' + std::to_string(row.version.value()) + '"';
}

admin_api::response_type WithEtag(admin_api::response_type response,
                                  const table_row& row) {
  response.set(http::field::etag, QuotedVersion(row));
  return response;
}

std::vector<std::string> PathSegments(std::string_view target) {
  const auto parsed = boost::urls::parse_origin_form(target);
  std::vector<std::string> segments;
  if (!parsed) {
    return segments;
  }
  for (const auto& segment : parsed->segments()) {
    segments.push_back(segment);
  }
  return segments;
}

// `If-Match: "7"` expects version 7; `If-None-Match: *` expects no row.
std::optional<row_version> ExpectedVersion(
    const admin_api::request_type& request) {
  if (request[http::field::if_none_match] == "*") {
    return row_version(0);
  }
  std::string_view etag_value = request[http::field::if_match];
  if (etag_value.size() < 3 || etag_value.front() != '"' ||
      etag_value.back() != '"') {
    return std::nullopt;
  }
  etag_value = etag_value.substr(1, etag_value.size() - 2);
  std::uint64_t version = 0;
  const char* end = etag_value.data() + etag_value.size();
  const auto [parse_end, error] =
      std::from_chars(etag_value.data(), end, version);
  if (error != std::errc() || parse_end != end) {
    return std::nullopt;
  }
  return row_version(version);
}

http::status StatusFor(admin_status status) {
  switch (status) {
    case admin_status::kAccepted:
      return http::status::ok;
    case admin_status::kConflict:
      return http::status::precondition_failed;
    case admin_status::kInvalid:
      return http::status::unprocessable_entity;
    case admin_status::kStoreUnavailable:
      return http::status::service_unavailable;
    case admin_status::kUnknown:
      return http::status::gateway_timeout;
  }
  return http::status::internal_server_error;
}

std::string_view NameOf(admin_status status) {
  switch (status) {
    case admin_status::kAccepted:
      return "accepted";
    case admin_status::kConflict:
      return "conflict";
    case admin_status::kInvalid:
      return "invalid";
    case admin_status::kStoreUnavailable:
      return "store-unavailable";
    case admin_status::kUnknown:
      return "unknown";
  }
  return "unknown";
}

admin_api::response_type ToResponse(const admin_result& result) {
  json::object body{{"status", NameOf(result.status)}};
  if (!result.reason.empty()) {
    body["error"] = result.reason;
  }
  if (!result.row) {
    return MakeResponse(StatusFor(result.status), body);
  }
  body["row"] = ToJson(*result.row);
  return WithEtag(MakeResponse(StatusFor(result.status), body), *result.row);
}

json::array HistoryToJson(const admin_result& result) {
  json::array versions;
  for (std::size_t i = 0; i < result.history.size(); ++i) {
    const row_history_entry& entry = result.history[i];
    json::object version = ToJson(entry);
    if (i + 1 < result.history.size()) {
      version["changes"] =
          DiffToJson(result.history[i + 1].row.settings, entry.row.settings);
    }
    versions.push_back(std::move(version));
  }
  return versions;
}

json::value ParseBody(const admin_api::request_type& request) {
  json::error_code error;
  json::value body = json::parse(request.body(), error);
  return error ? json::value() : body;
}

}  // namespace

bool admin_api::Handle(const request_type& request,
                       const response_callback& respond) {
  const std::vector<std::string> path = PathSegments(request.target());
  if (path.size() < 2 || path[0] != "v1") {
    return false;
  }
  if (path[1] == kTableSegment && path.size() == 2) {
    HandleTable(request, respond);
    return true;
  }
  if (path[1] == kTableSegment && path.size() >= kRowPathSegmentCount) {
    HandleRow(request, path, respond);
    return true;
  }
  if (path[1] == "nodes" && path.size() == 2) {
    if (AuthorizeRead(request, respond)) {
      HandleNodes(respond);
    }
    return true;
  }
  if (path[1] == "drain" && path.size() == 2) {
    HandleDrain(request, respond);
    return true;
  }
  return false;
}

void admin_api::HandleTable(const request_type& request,
                            const response_callback& respond) {
  if (request.method() != http::verb::get) {
    return respond(
        MakeErrorResponse(http::status::method_not_allowed, "use GET"));
  }
  if (!AuthorizeRead(request, respond)) {
    return;
  }
  submit_(read_table{}, [respond](const admin_result& result) {
    json::array rows;
    for (const table_row& row : result.rows) {
      rows.push_back(ToJson(row));
    }
    respond(
        MakeResponse(http::status::ok,
                     json::object{{"rows", std::move(rows)},
                                  {"peers_heard", result.peers_heard},
                                  {"peers_in_sync", result.peers_in_sync}}));
  });
}

void admin_api::HandleRow(const request_type& request,
                          const std::vector<std::string>& path,
                          const response_callback& respond) {
  const service_name service(path[2]);
  const class_name request_class(path[3]);
  const std::string action =
      path.size() == kRowPathSegmentCount + 1 ? path[kRowPathSegmentCount] : "";
  const bool is_row = path.size() == kRowPathSegmentCount;
  if (request.method() == http::verb::get && (is_row || action == "history")) {
    if (AuthorizeRead(request, respond)) {
      HandleHistory({service, request_class}, respond);
    }
    return;
  }
  const bool is_edit = is_row && (request.method() == http::verb::put ||
                                  request.method() == http::verb::delete_);
  const bool is_rollback =
      action == "rollback" && request.method() == http::verb::post;
  if (!is_edit && !is_rollback) {
    return respond(
        MakeErrorResponse(http::status::method_not_allowed, "no such method"));
  }
  const admin_team* team = AuthorizeEdit(request, service.value(), respond);
  if (team == nullptr) {
    return;
  }
  const auto expected = ExpectedVersion(request);
  if (!expected) {
    return respond(MakeErrorResponse(http::status::precondition_required,
                                     "If-Match with the row's version, or "
                                     "If-None-Match: *, is required"));
  }
  edit_row edit{.service = service,
                .request_class = request_class,
                .expected = *expected,
                .change = change_id(std::string(request["Auburnfold-Change"])),
                .author = team->name};
  edit.is_deletion = request.method() == http::verb::delete_;
  if (is_rollback) {
    return HandleRollback(request, edit, respond);
  }
  HandleEdit(request, std::move(edit), respond);
}

void admin_api::HandleEdit(const request_type& request,
                           edit_row edit,
                           const response_callback& respond) {
  if (!edit.is_deletion) {
    const std::string error_text =
        ParseSettings(ParseBody(request), edit.settings);
    if (!error_text.empty()) {
      return respond(
          MakeErrorResponse(http::status::unprocessable_entity, error_text));
    }
  }
  submit_(std::move(edit), [respond](const admin_result& result) {
    respond(ToResponse(result));
  });
}

// A rollback creates a new version with the settings of an earlier one.
void admin_api::HandleRollback(const request_type& request,
                               const edit_row& edit,
                               const response_callback& respond) {
  const json::value body = ParseBody(request);
  const json::object* object = body.if_object();
  const json::value* version_value =
      object == nullptr ? nullptr : object->if_contains("version");
  json::error_code error;
  const std::uint64_t version =
      version_value == nullptr ? 0
                               : version_value->to_number<std::uint64_t>(error);
  if (version == 0 || error) {
    return respond(MakeErrorResponse(http::status::unprocessable_entity,
                                     "version: must be a number above 0"));
  }
  submit_(read_history{edit.service, edit.request_class},
          [this, respond, edit, version](const admin_result& result) {
            if (result.status != admin_status::kAccepted) {
              return respond(ToResponse(result));
            }
            const auto found =
                std::find_if(result.history.begin(), result.history.end(),
                             [version](const row_history_entry& entry) {
                               return entry.row.version == row_version(version);
                             });
            if (found == result.history.end()) {
              return respond(MakeErrorResponse(http::status::not_found,
                                               "version: no longer kept"));
            }
            edit_row rollback = edit;
            rollback.settings = found->row.settings;
            rollback.is_deletion = found->row.is_deleted;
            submit_(std::move(rollback),
                    [respond](const admin_result& written) {
                      respond(ToResponse(written));
                    });
          });
}

void admin_api::HandleHistory(const read_history& history_request,
                              const response_callback& respond) {
  submit_(history_request, [respond](const admin_result& result) {
    if (result.status != admin_status::kAccepted) {
      return respond(ToResponse(result));
    }
    if (!result.row) {
      return respond(MakeErrorResponse(http::status::not_found, "no such row"));
    }
    respond(
        WithEtag(MakeResponse(http::status::ok,
                              json::object{{"row", ToJson(*result.row)},
                                           {"history", HistoryToJson(result)}}),
                 *result.row));
  });
}

void admin_api::HandleNodes(const response_callback& respond) {
  submit_(read_members{}, [respond](const admin_result& result) {
    json::array nodes;
    for (const member_record& record : result.members) {
      nodes.push_back(ToJson(record));
    }
    respond(MakeResponse(http::status::ok,
                         json::object{{"nodes", std::move(nodes)}}));
  });
}

void admin_api::HandleDrain(const request_type& request,
                            const response_callback& respond) {
  const bool is_draining = request.method() == http::verb::put;
  if (!is_draining && request.method() != http::verb::delete_) {
    return respond(MakeErrorResponse(http::status::method_not_allowed,
                                     "use PUT or DELETE"));
  }
  const admin_team* team =
      rules_.Authenticate(request[http::field::authorization]);
  if (team == nullptr || !team->may_drain) {
    return RespondRefused(respond, team != nullptr,
                          "the team may not drain nodes");
  }
  submit_(set_draining{is_draining}, [respond](const admin_result& result) {
    respond(ToResponse(result));
  });
}

const admin_team* admin_api::AuthorizeEdit(const request_type& request,
                                           std::string_view service,
                                           const response_callback& respond) {
  const admin_team* team =
      rules_.Authenticate(request[http::field::authorization]);
  if (team != nullptr && team->may_edit(service)) {
    return team;
  }
  RespondRefused(respond, team != nullptr,
                 "the team may not edit this service");
  return nullptr;
}

bool admin_api::AuthorizeRead(const request_type& request,
                              const response_callback& respond) {
  const bool may_read =
      rules_.allows_anonymous_reads() ||
      rules_.Authenticate(request[http::field::authorization]) != nullptr;
  if (!may_read) {
    RespondRefused(respond, false, "");
  }
  return may_read;
}

void admin_api::RespondRefused(const response_callback& respond,
                               bool is_authenticated,
                               std::string_view reason) {
  ++refused_count_;
  respond(is_authenticated ? MakeErrorResponse(http::status::forbidden, reason)
                           : MakeErrorResponse(http::status::unauthorized,
                                               "a team's token is required"));
}

}  // namespace auburnfold
