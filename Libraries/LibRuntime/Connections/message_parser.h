#ifndef LIBRUNTIME_CONNECTIONS_MESSAGE_PARSER_H_
#define LIBRUNTIME_CONNECTIONS_MESSAGE_PARSER_H_

#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/long_fields.h"

namespace auburnfold {

/// Parses a message whose fields may be longer than Beast's, whose own parser
/// throws at them.
template <bool is_request>
class message_parser : public http::parser<is_request, http::string_body> {
 private:
  void on_field_impl(http::field field,
                     beast::string_view name,
                     beast::string_view value,
                     error_code& error) override {
    if (!InsertField(this->get(), field, name, value)) {
      error = http::error::header_limit;
    }
  }
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_MESSAGE_PARSER_H_
