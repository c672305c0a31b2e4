#ifndef LIBRUNTIME_HEXADECIMAL_H_
#define LIBRUNTIME_HEXADECIMAL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnfold {

/// `value` as 16 lower-case hexadecimal digits.
std::string ToHexadecimal(std::uint64_t value);

/// The value of 1 to 16 hexadecimal digits, or nothing.
std::optional<std::uint64_t> ParseHexadecimal(std::string_view text);

/// The value of decimal digits only, or nothing if there is anything else or
/// it does not fit.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_HEXADECIMAL_H_
