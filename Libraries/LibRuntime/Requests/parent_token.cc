#include "LibRuntime/Requests/parent_token.h"

#include "LibRuntime/Requests/hexadecimal.h"

namespace auburnfold {

namespace {

constexpr std::size_t kPartDigits = 16;
constexpr std::size_t kTextLength = 3 * kPartDigits + 2;
constexpr char kSeparator = '-';

std::optional<std::uint64_t> ParsePart(std::string_view text,
                                       std::size_t index) {
  return ParseHexadecimal(text.substr(index * (kPartDigits + 1), kPartDigits));
}

}  // namespace

std::string parent_token::Format() const {
  std::string text = ToHexadecimal(node.value());
  text += kSeparator;
  text += ToHexadecimal(run.value());
  text += kSeparator;
  text += ToHexadecimal(work.value());
  return text;
}

std::optional<parent_token> parent_token::Parse(std::string_view text) {
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> node = ParsePart(text, 0);
  const std::optional<std::uint64_t> run = ParsePart(text, 1);
  const std::optional<std::uint64_t> work = ParsePart(text, 2);
  if (!node || !run || !work) {
    return std::nullopt;
  }
  return parent_token{node_id(*node), incarnation(*run), work_id(*work)};
}

}  // namespace auburnfold
