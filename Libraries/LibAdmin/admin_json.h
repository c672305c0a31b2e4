#ifndef LIBADMIN_ADMIN_JSON_H_
#define LIBADMIN_ADMIN_JSON_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "LibDecision/admin_call.h"
#include "LibDecision/member_record.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

boost::json::object ToJson(const row_settings& settings);
boost::json::object ToJson(const table_row& row);
boost::json::object ToJson(const row_history_entry& entry);
boost::json::object ToJson(const member_record& record);

/// Each column that differs, with the values before and after.
boost::json::object DiffToJson(const row_settings& before,
                               const row_settings& after);

/// Reads the columns that are there into `settings`. Returns what is wrong,
/// by column, or nothing. Ranges are checked where the edit is decided.
std::string ParseSettings(const boost::json::value& value,
                          row_settings& settings);

}  // namespace auburnfold

#endif  // LIBADMIN_ADMIN_JSON_H_
