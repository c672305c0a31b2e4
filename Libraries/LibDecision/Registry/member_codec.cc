#include "LibDecision/Registry/member_codec.h"

#include <charconv>
#include <cstdint>

#include "LibDecision/text_words.h"

namespace auburnfold {

namespace {

// Format and version of the values.
constexpr std::string_view kFormatTag = "auburnfold-node-1";

}  // namespace

std::string MemberKey(node_id node) {
  return std::string(kRegistryPrefix) + std::to_string(node.value());
}

std::string EncodeMember(const member_record& record) {
  std::string line;
  AppendWord(line, kFormatTag);
  AppendNumber(line, record.run.value());
  AppendNumber(line, record.version);
  AppendNumber(line, static_cast<std::uint64_t>(record.state));
  AppendWord(line, record.address.host);
  AppendNumber(line, record.address.peer_port);
  AppendNumber(line, record.address.control_port);
  AppendWord(line, record.domain.value());
  AppendWord(line, record.service.value());
  AppendNumber(line, record.slots);
  return line;
}

std::optional<member_record> DecodeMember(std::string_view key,
                                          std::string_view value) {
  const std::optional<node_id> node = ParseMemberKey(key);
  word_reader fields(value);
  if (!node || fields.TakeUntil(' ') != kFormatTag) {
    return std::nullopt;
  }
  member_record record{.node = *node};
  std::uint64_t run = 0;
  std::uint64_t state = 0;
  const bool has_state = fields.TakeNumber(run) &&
                         fields.TakeNumber(record.version) &&
                         fields.TakeNumber(state);
  if (!has_state || state > static_cast<std::uint64_t>(member_state::kGone)) {
    return std::nullopt;
  }
  record.run = incarnation(run);
  record.state = static_cast<member_state>(state);
  record.address.host = std::string(fields.TakeUntil(' '));
  const bool has_ports = fields.TakeNumber(record.address.peer_port) &&
                         fields.TakeNumber(record.address.control_port);
  record.domain = domain_name(std::string(fields.TakeUntil(' ')));
  record.service = service_name(std::string(fields.TakeUntil(' ')));
  // A later version may append fields.
  const bool has_slots = fields.TakeNumber(record.slots);
  if (!has_ports || !has_slots || record.address.host.empty()) {
    return std::nullopt;
  }
  return record;
}

std::optional<node_id> ParseMemberKey(std::string_view key) {
  if (!key.starts_with(kRegistryPrefix)) {
    return std::nullopt;
  }
  const std::string_view digits = key.substr(kRegistryPrefix.size());
  const char* digits_end = digits.data() + digits.size();
  std::uint64_t value = 0;
  const auto [parse_end, error] =
      std::from_chars(digits.data(), digits_end, value);
  if (error != std::errc() || parse_end != digits_end || digits.empty()) {
    return std::nullopt;
  }
  return node_id(value);
}

}  // namespace auburnfold
