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

/// The administration API of docs/openapi.yaml. Any node serves it.
class admin_api {
 public:
  using request_type =
      boost::beast::http::request<boost::beast::http::string_body>;
  using response_type =
      boost::beast::http::response<boost::beast::http::string_body>;
  using response_callback = std::function<void(response_type)>;
  /// Gives the reducer a request; the handler is called once.
  using request_submitter =
      std::function<void(admin_request, std::function<void(admin_result)>)>;

  admin_api(access_rules rules, request_submitter submit)
      : rules_(std::move(rules)), submit_(std::move(submit)) {}

  /// Answers `request` by `respond`, once. False if the API has no such path.
  bool Handle(const request_type& request, const response_callback& respond);

  /// Requests refused for want of a token or a right.
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
  void HandleHistory(const read_history& requested,
                     const response_callback& respond);
  void HandleNodes(const response_callback& respond);
  void HandleDrain(const request_type& request,
                   const response_callback& respond);

  /// The team of `request`, or null after a refusal was sent.
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
