#ifndef LIBDECISION_TABLE_ROW_CODEC_H_
#define LIBDECISION_TABLE_ROW_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/admin_call.h"
#include "LibDecision/ids.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Accepted versions of one row, the newest first.
using row_versions = std::vector<row_history_entry>;

/// Versions of a row that the key-value service keeps.
inline constexpr std::size_t kKeptRowVersions = 8;

/// Prefix of every row's key.
inline constexpr std::string_view kTablePrefix = "table/";

/// The key of a row in the key-value service.
std::string RowKey(const service_name& service,
                   const class_name& request_class);

/// The value of a row's key: a line that names the format, then one line per
/// version. Names, change ids and authors hold no white space.
std::string EncodeRow(const row_versions& versions);

/// Reads what `EncodeRow` wrote under `key`; nothing if either makes no sense.
std::optional<row_versions> DecodeRow(std::string_view key,
                                      std::string_view value);

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_CODEC_H_
