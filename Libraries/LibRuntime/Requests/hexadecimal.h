#ifndef LIBRUNTIME_REQUESTS_HEXADECIMAL_H_
#define LIBRUNTIME_REQUESTS_HEXADECIMAL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnfold {

/// Formats `value` as 16 lower-case hexadecimal digits.
std::string ToHexadecimal(std::uint64_t value);

/// Parses 1 to 16 hexadecimal digits. Returns nullopt for any other text.
std::optional<std::uint64_t> ParseHexadecimal(std::string_view text);

/// Parses decimal digits. Returns nullopt for any other text, or if the value
/// does not fit.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_HEXADECIMAL_H_
