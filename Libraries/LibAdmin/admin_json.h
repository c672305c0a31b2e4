#ifndef LIBADMIN_ADMIN_JSON_H_
#define LIBADMIN_ADMIN_JSON_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "LibDecision/admin_call.h"
#include "LibDecision/member_record.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// The columns by name. Durations are in milliseconds.
boost::json::object ToJson(const row_settings& settings);
boost::json::object ToJson(const table_row& row);
boost::json::object ToJson(const row_history_entry& entry);
boost::json::object ToJson(const member_record& record);

/// The columns that differ, each with its values before and after.
boost::json::object DiffToJson(const row_settings& before,
                               const row_settings& after);

/// Parses the columns that `value` contains into `settings`. Returns an error
/// text that names the column, or an empty string if `value` is valid. Ranges
/// are not checked here but when the edit is applied.
std::string ParseSettings(const boost::json::value& value,
                          row_settings& settings);

}  // namespace auburnfold

#endif  // LIBADMIN_ADMIN_JSON_H_
