#include "LibRuntime/Connections/message_framing.h"

#include <algorithm>
#include <cstddef>

#include "LibRuntime/Connections/response_status.h"

namespace auburnfold {

namespace {

constexpr std::string_view kChunked = "chunked";
constexpr std::string_view kWhiteSpace = " \t";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhiteSpace) + 1 - first);
}

}  // namespace

// Beast's list of tokens ends silently at a syntax error, so the codings are
// compared as text. Empty elements of a list have no meaning.
bool IsChunkedOnly(const http::fields& header) {
  int codings = 0;
  const auto [first, last] = header.equal_range(http::field::transfer_encoding);
  for (auto field = first; field != last; ++field) {
    std::string_view rest = field->value();
    while (!rest.empty()) {
      const std::string_view element = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), element.size() + 1));
      const std::string_view coding = Trim(element);
      if (coding.empty()) {
        continue;
      }
      if (!beast::iequals(coding, kChunked)) {
        return false;
      }
      ++codings;
    }
  }
  return codings == 1;
}

bool MayBeResponse(std::string_view text) {
  constexpr std::string_view kBegin = "HTTP/1.";
  text.remove_prefix(std::min(text.find_first_not_of("\r\n"), text.size()));
  return text.substr(0, kBegin.size()) == kBegin.substr(0, text.size());
}

bool HasNoBody(unsigned status) {
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return IsInterimStatus(status) || status == kNoContent ||
         status == kNotModified;
}

void folding_detector::Scan(std::string_view bytes) {
  while (!is_header_over_ && !bytes.empty()) {
    if (is_at_line_start_) {
      const char first = bytes.front();
      has_folding_ |= kWhiteSpace.find(first) != std::string_view::npos;
      is_header_over_ = first == '\r';
    }
    const std::size_t line_end = bytes.find('\n');
    is_at_line_start_ = line_end != std::string_view::npos;
    bytes.remove_prefix(is_at_line_start_ ? line_end + 1 : bytes.size());
  }
}

}  // namespace auburnfold
