#ifndef AUBURNFOLD_LOAD_HTTP_TYPES_H_
#define AUBURNFOLD_LOAD_HTTP_TYPES_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace auburnfold {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Largest body in either direction.
inline constexpr std::size_t kBodyLimitBytes = std::size_t{1024} * 1024;
inline constexpr unsigned kHttp11 = 11;

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_HTTP_TYPES_H_
