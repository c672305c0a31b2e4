#include "LibDecision/Idempotency/issued_key.h"

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

namespace auburnfold {

namespace {

constexpr std::string_view kPrefix = "afk1";
constexpr std::size_t kDigitCount = 16;
constexpr std::size_t kFieldSize = 1 + kDigitCount;
constexpr std::size_t kFieldCount = 4;
constexpr std::size_t kKeySize = kPrefix.size() + kFieldCount * kFieldSize;
constexpr char kSeparator = '-';

void AppendField(std::string& text, std::uint64_t value) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  text.push_back(kSeparator);
  for (int shift = 60; shift >= 0; shift -= 4) {
    text.push_back(kHexDigits[(value >> shift) & 0xf]);
  }
}

bool IsLowerHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

std::optional<std::uint64_t> ParseField(std::string_view text,
                                        std::size_t index) {
  const std::string_view field =
      text.substr(kPrefix.size() + index * kFieldSize, kFieldSize);
  if (field.front() != kSeparator) {
    return std::nullopt;
  }
  const std::string_view digits = field.substr(1);
  for (const char digit : digits) {
    if (!IsLowerHexDigit(digit)) {
      return std::nullopt;
    }
  }
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return value;
}

}  // namespace

idempotency_key Format(const issued_key& key) {
  std::string text;
  text.reserve(kKeySize);
  text.append(kPrefix);
  AppendField(text, key.home.node.value());
  AppendField(text, key.home.run.value());
  AppendField(text, key.serial);
  AppendField(text, key.nonce);
  return idempotency_key(std::move(text));
}

std::optional<issued_key> ParseKey(const idempotency_key& key) {
  const std::string_view text = key.value();
  if (text.size() != kKeySize || !text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const auto node = ParseField(text, 0);
  const auto run = ParseField(text, 1);
  const auto serial = ParseField(text, 2);
  const auto nonce = ParseField(text, 3);
  if (!node || !run || !serial || !nonce) {
    return std::nullopt;
  }
  return issued_key{{node_id(*node), incarnation(*run)}, *serial, *nonce};
}

}  // namespace auburnfold
