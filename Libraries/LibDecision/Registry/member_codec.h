#ifndef LIBDECISION_REGISTRY_MEMBER_CODEC_H_
#define LIBDECISION_REGISTRY_MEMBER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/member_record.h"

namespace auburnfold {

/// Prefix of all keys of the registry.
inline constexpr std::string_view kRegistryPrefix = "auburnfold/nodes/";

/// The key of the record of `node`.
std::string MemberKey(node_id node);

/// The value of the key of `record.node`.
std::string EncodeMember(const member_record& record);

/// A record that was read, or the field that cannot be.
struct member_reading {
  std::optional<member_record> record;
  std::string_view unread_field;
};

/// Reads the record stored under `key`. Another writer may have left anything
/// there: a record is read only if a node can be reached through it.
member_reading ReadMember(std::string_view key, std::string_view value);

/// The record stored under `key`; `nullopt` if `key` or `value` is malformed.
std::optional<member_record> DecodeMember(std::string_view key,
                                          std::string_view value);

/// The node that `key` belongs to; `nullopt` if `MemberKey` does not make it.
std::optional<node_id> ParseMemberKey(std::string_view key);

}  // namespace auburnfold

#endif  // LIBDECISION_REGISTRY_MEMBER_CODEC_H_
