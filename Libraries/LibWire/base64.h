#ifndef LIBWIRE_BASE64_H_
#define LIBWIRE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace auburnfold {

/// Standard base64 with padding.
std::string ToBase64(std::string_view bytes);

/// Nothing if `text` is not standard base64 with padding.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace auburnfold

#endif  // LIBWIRE_BASE64_H_
