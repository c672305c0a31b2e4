#include "auburnfold-load/http_address.h"

#include <charconv>

namespace auburnfold {

std::optional<http_address> ParseHttpAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool is_number =
      error == std::errc() && end == digits.data() + digits.size();
  if (!is_number || port == 0) {
    return std::nullopt;
  }
  return http_address{std::string(text.substr(0, colon)), port};
}

}  // namespace auburnfold
