#ifndef LIBADMIN_ADMIN_API_H_
#define LIBADMIN_ADMIN_API_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibAdmin/access_rules.h"
#include "LibDecision/admin_call.h"

namespace auburnfold {

/// HTTP handlers of the administration API, which docs/openapi.yaml specifies.
/// Every node serves it.
class admin_api {
 public:
  using request_type =
      boost::beast::http::request<boost::beast::http::string_body>;
  using response_type =
      boost::beast::http::response<boost::beast::http::string_body>;
  using response_callback = std::function<void(response_type)>;
  /// Submits a request to the reducer. The handler is called exactly once, with
  /// the result.
  using request_submitter =
      std::function<void(admin_request, std::function<void(admin_result)>)>;

  admin_api(access_rules rules, request_submitter submit)
      : rules_(std::move(rules)), submit_(std::move(submit)) {}

  /// Handles `request` and calls `respond` exactly once. Returns false, without
  /// a response, if the path is not part of the API.
  bool Handle(const request_type& request, const response_callback& respond);

  /// The number of requests refused because of a missing token or permission.
  std::uint64_t refused_count() const { return refused_count_; }

 private:
  void HandleTable(const request_type& request,
                   const response_callback& respond);
  void HandleRow(const request_type& request,
                 const std::vector<std::string>& path,
                 const response_callback& respond);
  void HandleEdit(const request_type& request,
                  edit_row edit,
                  const response_callback& respond);
  void HandleRollback(const request_type& request,
                      const edit_row& edit,
                      const response_callback& respond);
  void HandleHistory(const read_history& history_request,
                     const response_callback& respond);
  void HandleNodes(const response_callback& respond);
  void HandleDrain(const request_type& request,
                   const response_callback& respond);

  /// Returns the team of `request` if it may edit `service`. Otherwise responds
  /// with an error and returns null.
  const admin_team* AuthorizeEdit(const request_type& request,
                                  std::string_view service,
                                  const response_callback& respond);
  bool AuthorizeRead(const request_type& request,
                     const response_callback& respond);
  void RespondRefused(const response_callback& respond,
                      bool is_authenticated,
                      std::string_view reason);

  access_rules rules_;
  request_submitter submit_;
  std::uint64_t refused_count_ = 0;
};

}  // namespace auburnfold

#endif  // LIBADMIN_ADMIN_API_H_
