#ifndef LIBRUNTIME_CONNECTIONS_MESSAGE_FRAMING_H_
#define LIBRUNTIME_CONNECTIONS_MESSAGE_FRAMING_H_

#include <string_view>

#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// Whether the Transfer-Encoding of `header` is "chunked" and nothing else.
bool IsChunkedOnly(const http::fields& header);

/// Whether `text`, which may go on, can be the beginning of a response.
bool MayBeResponse(std::string_view text);

/// Whether a response with this status ends with its header.
bool HasNoBody(unsigned status);

/// Looks for obsolete line folding in a header that arrives in any segments
/// (RFC 9112, section 5.2). Parsers that join folded lines and parsers that do
/// not disagree on where a message ends.
class folding_detector {
 public:
  /// Takes the next bytes of the message, of which those behind the header are
  /// ignored.
  void Scan(std::string_view bytes);

  bool has_folding() const { return has_folding_; }

 private:
  bool is_at_line_start_ = false;
  bool is_header_over_ = false;
  bool has_folding_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_MESSAGE_FRAMING_H_
