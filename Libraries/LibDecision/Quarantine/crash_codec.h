#ifndef LIBDECISION_QUARANTINE_CRASH_CODEC_H_
#define LIBDECISION_QUARANTINE_CRASH_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/Quarantine/crash_record.h"

namespace auburnfold {

/// Prefix of the keys of crash records. It lies below the registry's, so that
/// nodes follow both with one watch.
inline constexpr std::string_view kCrashPrefix = "auburnfold/nodes/crashes/";

/// The key of the record of `crash`.
std::string CrashKey(crash_id crash);

/// The value of the key of `record.id`.
std::string EncodeCrash(const crash_record& record);

/// The record stored under `key`; `nullopt` if `key` or `value` is malformed.
std::optional<crash_record> DecodeCrash(std::string_view key,
                                        std::string_view value);

/// The crash that `key` belongs to; `nullopt` if it is not a key of one.
std::optional<crash_id> ParseCrashKey(std::string_view key);

}  // namespace auburnfold

#endif  // LIBDECISION_QUARANTINE_CRASH_CODEC_H_
