#ifndef LIBDECISION_REGISTRY_MEMBER_CODEC_H_
#define LIBDECISION_REGISTRY_MEMBER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/member_record.h"

namespace auburnfold {

/// Keys of the registry begin with it.
inline constexpr std::string_view kRegistryPrefix = "auburnfold/nodes/";

std::string MemberKey(node_id node);

std::string EncodeMember(const member_record& record);

/// Nothing if `key` or `value` is not of the registry's form.
std::optional<member_record> DecodeMember(std::string_view key,
                                          std::string_view value);

/// The node that `key` is about; nothing if it is no key of the registry.
std::optional<node_id> NodeOfKey(std::string_view key);

}  // namespace auburnfold

#endif  // LIBDECISION_REGISTRY_MEMBER_CODEC_H_
