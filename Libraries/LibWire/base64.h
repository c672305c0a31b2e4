#ifndef LIBWIRE_BASE64_H_
#define LIBWIRE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace auburnfold {

/// Encodes `bytes` as standard base64 with padding (RFC 4648).
std::string ToBase64(std::string_view bytes);

/// Decodes standard base64 with padding. Returns nothing if `text` is invalid.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace auburnfold

#endif  // LIBWIRE_BASE64_H_
