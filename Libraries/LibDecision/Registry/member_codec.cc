#include "LibDecision/Registry/member_codec.h"

#include <arpa/inet.h>

#include <cstddef>
#include <cstdint>
#include <utility>

#include "LibDecision/text_words.h"

namespace auburnfold {

namespace {

// Format and version of the values.
constexpr std::string_view kFormatTag = "auburnfold-node-1";
// Four words that earlier versions read as no leave.
constexpr std::string_view kNoLeave = "- - - -";
constexpr std::size_t kMaxHostBytes = 64;
constexpr std::size_t kMaxNameBytes = 256;

bool IsAddress(std::string_view host) {
  // The scope of an IPv6 address follows a percent sign.
  const std::string text(host.substr(0, host.find('%')));
  in6_addr parsed{};
  return host.size() <= kMaxHostBytes && IsText(host) &&
         (inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
          inet_pton(AF_INET6, text.c_str(), &parsed) == 1);
}

// Reads the fields of a record in their order, and remembers the first that
// cannot be read.
class record_reader {
 public:
  explicit record_reader(std::string_view value) : fields_(value) {}

  void ReadFormat() {
    if (fields_.TakeUntil(' ') != kFormatTag) {
      Fail("format");
    }
  }

  template <class number>
  number ReadNumber(std::string_view field, number min = 0) {
    number read = 0;
    if (!fields_.TakeNumber(read) || read < min) {
      Fail(field);
    }
    return read;
  }

  member_state ReadState() {
    constexpr auto kLast = static_cast<std::uint64_t>(member_state::kGone);
    const auto state = ReadNumber<std::uint64_t>("state");
    if (state > kLast) {
      Fail("state");
      return member_state::kGone;
    }
    return static_cast<member_state>(state);
  }

  std::string ReadHost() {
    const std::string_view host = fields_.TakeUntil(' ');
    if (!IsAddress(host)) {
      Fail("host");
    }
    return std::string(host);
  }

  // Names are written into headers, lines of views and the log.
  std::string ReadName(std::string_view field) {
    const std::string_view name = fields_.TakeUntil(' ');
    if (name.size() > kMaxNameBytes || !IsText(name)) {
      Fail(field);
      return {};
    }
    return std::string(name);
  }

  // Unset if the record has none. One that cannot be read is of no use, but the
  // record is.
  std::optional<endpoint_leave> ReadLeave() {
    endpoint_leave leave;
    std::uint64_t run = 0;
    const bool has_flag = fields_.TakeFlag(leave.is_final);
    const bool has_sequence = fields_.TakeNumber(leave.sequence);
    const bool has_run = fields_.TakeNumber(run);
    const std::string_view name = fields_.TakeUntil(' ');
    const bool is_read = has_flag && has_sequence && has_run;
    if (!is_read || name.size() > kMaxNameBytes || !IsText(name)) {
      return std::nullopt;
    }
    leave.endpoint = {endpoint_name(std::string(name)), incarnation(run)};
    return leave;
  }

  std::optional<proven_routes> ReadRoutes() {
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    const bool has_era = fields_.TakeNumber(era);
    if (!fields_.TakeNumber(version) || !has_era) {
      return std::nullopt;
    }
    return proven_routes{store_era(era), route_version(version)};
  }

  /// Empty if all fields were read.
  std::string_view unread_field() const { return unread_field_; }

 private:
  void Fail(std::string_view field) {
    if (unread_field_.empty()) {
      unread_field_ = field;
    }
  }

  word_reader fields_;
  std::string_view unread_field_;
};

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
  if (record.leave) {
    AppendNumber(line, record.leave->is_final ? 1 : 0);
    AppendNumber(line, record.leave->sequence);
    AppendNumber(line, record.leave->endpoint.run.value());
    AppendWord(line, record.leave->endpoint.name.value());
  }
  if (record.routes) {
    if (!record.leave) {
      AppendWord(line, kNoLeave);
    }
    AppendNumber(line, record.routes->era.value());
    AppendNumber(line, record.routes->version.value());
  }
  return line;
}

member_reading ReadMember(std::string_view key, std::string_view value) {
  const std::optional<node_id> node = ParseMemberKey(key);
  if (!node) {
    return {.unread_field = "key"};
  }
  record_reader fields(value);
  fields.ReadFormat();
  member_record record{.node = *node};
  record.run = incarnation(fields.ReadNumber<std::uint64_t>("run"));
  record.version = fields.ReadNumber<std::uint64_t>("version");
  record.state = fields.ReadState();
  record.address.host = fields.ReadHost();
  record.address.peer_port = fields.ReadNumber<std::uint16_t>("peer_port", 1);
  record.address.control_port =
      fields.ReadNumber<std::uint16_t>("control_port");
  record.domain = domain_name(fields.ReadName("domain"));
  record.service = service_name(fields.ReadName("service"));
  record.slots = fields.ReadNumber<std::uint32_t>("slots");
  // A later version may append fields.
  record.leave = fields.ReadLeave();
  record.routes = fields.ReadRoutes();
  if (!fields.unread_field().empty()) {
    return {.unread_field = fields.unread_field()};
  }
  return {.record = std::move(record)};
}

std::optional<member_record> DecodeMember(std::string_view key,
                                          std::string_view value) {
  return ReadMember(key, value).record;
}

// Another spelling of the same number is another key, whose changes say nothing
// about the node.
std::optional<node_id> ParseMemberKey(std::string_view key) {
  if (!key.starts_with(kRegistryPrefix)) {
    return std::nullopt;
  }
  word_reader digits(key.substr(kRegistryPrefix.size()));
  std::uint64_t value = 0;
  const bool is_number = digits.TakeNumber(value);
  return is_number && MemberKey(node_id(value)) == key
             ? std::optional(node_id(value))
             : std::nullopt;
}

}  // namespace auburnfold
