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
  using responder = std::function<void(response_type)>;
  /// Gives the reducer a request; the handler is called once.
  using requester =
      std::function<void(admin_request, std::function<void(admin_result)>)>;

  admin_api(access_rules rules, requester ask)
      : rules_(std::move(rules)), ask_(std::move(ask)) {}

  /// Answers `request` by `respond`, once. False if the API has no such path.
  bool Handle(const request_type& request, const responder& respond);

  /// Requests refused for want of a token or a right.
  std::uint64_t refused_count() const { return refused_; }

 private:
  void HandleTable(const request_type& request, const responder& respond);
  void HandleRow(const request_type& request,
                 const std::vector<std::string>& path,
                 const responder& respond);
  void HandleEdit(const request_type& request,
                  edit_row edit,
                  const responder& respond);
  void HandleRollback(const request_type& request,
                      const edit_row& edit,
                      const responder& respond);
  void HandleHistory(const read_history& wanted, const responder& respond);
  void HandleNodes(const responder& respond);
  void HandleDrain(const request_type& request, const responder& respond);

  /// The team of `request`, or null after a refusal was sent.
  const admin_team* Admit(const request_type& request,
                          std::string_view service,
                          const responder& respond);
  bool MayRead(const request_type& request, const responder& respond);
  void Refuse(const responder& respond, bool is_known, std::string_view why);

  access_rules rules_;
  requester ask_;
  std::uint64_t refused_ = 0;
};

}  // namespace auburnfold

#endif  // LIBADMIN_ADMIN_API_H_
