#ifndef STANDINS_ANSWERS_H_
#define STANDINS_ANSWERS_H_

#include <boost/json/object.hpp>
#include <string_view>

#include "auburnfold-load/http_types.h"

namespace auburnfold {

/// An answer with a JSON body.
http_response JsonAnswer(boost::beast::http::status status,
                         const boost::json::object& body);

/// An error's answer: `{"error": TEXT}`.
http_response ErrorAnswer(boost::beast::http::status status,
                          std::string_view text);

}  // namespace auburnfold

#endif  // STANDINS_ANSWERS_H_
