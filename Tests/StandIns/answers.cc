#include "StandIns/answers.h"

#include <boost/json/serialize.hpp>

namespace auburnfold {

namespace http = boost::beast::http;

http_response JsonAnswer(http::status status, const boost::json::object& body) {
  http_response answer(status, kHttp11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = boost::json::serialize(body);
  return answer;
}

http_response ErrorAnswer(http::status status, std::string_view text) {
  return JsonAnswer(status, {{"error", text}});
}

}  // namespace auburnfold
