#include "LibRuntime/Requests/hexadecimal.h"

#include <charconv>

namespace auburnfold {

namespace {

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
constexpr std::size_t kHexadecimalDigits = 16;

std::optional<std::uint64_t> ParseDigits(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), end, value, base);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToHexadecimal(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kHexadecimalDigits, '0');
  for (std::size_t i = kHexadecimalDigits; i > 0 && value != 0; --i) {
    text[i - 1] = kDigits[value % kHexadecimal];
    value /= kHexadecimal;
  }
  return text;
}

std::optional<std::uint64_t> ParseHexadecimal(std::string_view text) {
  return ParseDigits(text, kHexadecimal);
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  return ParseDigits(text, kDecimal);
}

}  // namespace auburnfold
