#ifndef LIBRUNTIME_CONNECTIONS_MESSAGE_PARSER_H_
#define LIBRUNTIME_CONNECTIONS_MESSAGE_PARSER_H_

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/long_fields.h"
#include "LibRuntime/Connections/message_framing.h"
#include "LibRuntime/Connections/response_status.h"

namespace auburnfold {

/// Parses a message as Beast's own parser does, but
/// - keeps fields that are longer than Beast's, whose parser throws at them;
/// - fails if the end of the message cannot be told with certainty (RFC 9112,
///   sections 5.2 and 6.3), where Beast takes what follows for a message of its
///   own;
/// - fails at a start line that is too short once the header is complete, where
///   Beast waits for more, and at the first byte of what is no response;
/// - fails at a response with a status that is not one (RFC 9110, section 15),
///   or that switches protocols, which no request asks for;
/// - discards trailers, which Beast adds to the header.
template <bool is_request>
class message_parser : public http::parser<is_request, http::string_body> {
 public:
  /// Parses `data` as far as it goes. Returns how many bytes are used.
  std::size_t Parse(asio::const_buffer data, error_code& error) {
    const std::size_t used = this->put(data, error);
    folding_.Scan({static_cast<const char*>(data.data()), used});
    if (folding_.has_folding()) {
      error = http::error::bad_value;
    }
    const bool is_waiting =
        error == http::error::need_more && !this->is_header_done();
    if (is_waiting && HoldsEmptyLine(data + used, used > 0)) {
      error = http::error::bad_version;
    }
    has_started_ |= used > 0;
    if (!is_request && is_waiting && !has_started_ &&
        !MayBeResponse({static_cast<const char*>(data.data()), data.size()})) {
      error = http::error::bad_version;
    }
    return used;
  }

 private:
  void on_header_impl(error_code& error) override {
    is_header_parsed_ = true;
    if constexpr (!is_request) {
      if (!IsUsableStatus(this->get().result_int())) {
        error = http::error::bad_status;
        return;
      }
    }
    if (!IsLengthKnown()) {
      error = http::error::bad_transfer_encoding;
    }
  }

  void on_field_impl(http::field field,
                     beast::string_view name,
                     beast::string_view value,
                     error_code& error) override {
    if (is_header_parsed_) {
      return;
    }
    if (!InsertField(this->get(), field, name, value)) {
      error = http::error::header_limit;
    }
  }

  // Empty lines in front of a message are ignored. What an earlier call
  // searched is not searched again.
  bool HoldsEmptyLine(asio::const_buffer unused, bool has_moved) {
    constexpr std::string_view kEnd = "\r\n\r\n";
    const std::string_view text(static_cast<const char*>(unused.data()),
                                unused.size());
    const std::size_t begin =
        std::min(text.find_first_not_of("\r\n"), text.size());
    const std::size_t from = has_moved ? begin : std::max(begin, searched_);
    searched_ = text.size() - std::min(text.size(), kEnd.size() - 1);
    return text.find(kEnd, from) != std::string_view::npos;
  }

  // Other codings than chunked are not decoded, and the next hop would not be
  // told of them.
  bool IsLengthKnown() const {
    const auto& message = this->get();
    if (message.find(http::field::transfer_encoding) == message.end()) {
      return true;
    }
    if constexpr (!is_request) {
      if (this->skip() || HasNoBody(message.result_int())) {
        return true;
      }
    }
    return message.version() == kHttp11 && IsChunkedOnly(message);
  }

  folding_detector folding_;
  bool is_header_parsed_ = false;
  /// A part of the message was used.
  bool has_started_ = false;
  std::size_t searched_ = 0;
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_MESSAGE_PARSER_H_
