#ifndef LIBDECISION_TABLE_ROW_RULES_H_
#define LIBDECISION_TABLE_ROW_RULES_H_

#include <optional>
#include <string>

#include "LibDecision/admin_call.h"
#include "LibDecision/ids.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Why these settings are refused, naming column and range; nothing if they
/// are not.
std::optional<std::string> FaultIn(const row_settings& settings);

/// The same for the names of a row.
std::optional<std::string> FaultIn(const service_name& service,
                                   const class_name& request_class);

/// The same for a whole edit.
std::optional<std::string> FaultIn(const edit_row& edit);

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_RULES_H_
