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

/// Accepted versions of one row, newest first.
using row_versions = std::vector<row_history_entry>;

/// How many versions of a row are stored in the key-value store.
inline constexpr std::size_t kMaxStoredRowVersions = 8;

/// Prefix of the keys of all rows.
inline constexpr std::string_view kRowKeyPrefix = "table/";

/// The key of a row in the key-value store.
std::string RowKey(const service_name& service,
                   const class_name& request_class);

/// Encodes the value of a row's key: a line that names the format, then one
/// line per version. Names, change ids and authors must not contain white
/// space.
std::string EncodeRow(const row_versions& versions);

/// Decodes a value that `EncodeRow` made for `key`. Returns nothing if the key
/// or the value is malformed.
std::optional<row_versions> DecodeRow(std::string_view key,
                                      std::string_view value);

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_CODEC_H_
