#ifndef LIBDECISION_TABLE_ROW_VALIDATION_H_
#define LIBDECISION_TABLE_ROW_VALIDATION_H_

#include <optional>
#include <string>

#include "LibDecision/admin_call.h"
#include "LibDecision/ids.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Returns an error text that names the column and its range if the settings
/// are invalid, and nothing if they are valid.
std::optional<std::string> Validate(const row_settings& settings);

/// The same for the names of a row.
std::optional<std::string> Validate(const service_name& service,
                                    const class_name& request_class);

/// The same for all parts of an edit.
std::optional<std::string> Validate(const edit_row& edit);

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_VALIDATION_H_
