#include "LibAdmin/admin_json.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string_view>

namespace auburnfold {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

std::int64_t InMilliseconds(duration length) {
  return std::chrono::duration_cast<milliseconds>(length).count();
}

std::string_view NameOf(member_state state) {
  switch (state) {
    case member_state::kReady:
      return "ready";
    case member_state::kLeaving:
      return "leaving";
    case member_state::kGone:
      return "gone";
  }
  return "gone";
}

template <class number>
bool ParseNumber(const json::value& value, number& result) {
  json::error_code error;
  const auto number_value = value.to_number<std::uint32_t>(error);
  if (error || number_value > std::numeric_limits<number>::max()) {
    return false;
  }
  result = static_cast<number>(number_value);
  return true;
}

bool ParseMilliseconds(const json::value& value, duration& result) {
  std::uint32_t count = 0;
  const bool is_number = ParseNumber(value, count);
  result = milliseconds(count);
  return is_number;
}

bool ParseColumn(std::string_view column,
                 const json::value& value,
                 row_settings& settings) {
  if (column == "weight") {
    return ParseNumber(value, settings.weight);
  }
  if (column == "priority") {
    return ParseNumber(value, settings.priority);
  }
  if (column == "concurrency_limit") {
    return ParseNumber(value, settings.concurrency_limit);
  }
  if (column == "retry_allowance") {
    return ParseNumber(value, settings.retry_allowance);
  }
  if (column == "longest_deadline_ms") {
    return ParseMilliseconds(value, settings.longest_deadline);
  }
  if (column == "queue_limit_ms") {
    return ParseMilliseconds(value, settings.queue_limit);
  }
  if (column == "idempotent" && value.is_bool()) {
    settings.is_idempotent = value.get_bool();
    return true;
  }
  return false;
}

}  // namespace

json::object ToJson(const row_settings& settings) {
  return {{"weight", settings.weight},
          {"priority", settings.priority},
          {"concurrency_limit", settings.concurrency_limit},
          {"retry_allowance", settings.retry_allowance},
          {"longest_deadline_ms", InMilliseconds(settings.longest_deadline)},
          {"queue_limit_ms", InMilliseconds(settings.queue_limit)},
          {"idempotent", settings.is_idempotent}};
}

json::object ToJson(const table_row& row) {
  return {
      {"service", row.service.value()}, {"class", row.request_class.value()},
      {"version", row.version.value()}, {"change", row.change.value()},
      {"deleted", row.is_deleted},      {"settings", ToJson(row.settings)}};
}

json::object ToJson(const row_history_entry& entry) {
  json::object json_entry = ToJson(entry.row);
  json_entry["author"] = entry.author;
  return json_entry;
}

json::object ToJson(const member_record& record) {
  return {{"node", std::to_string(record.node.value())},
          {"run", record.run.value()},
          {"version", record.version},
          {"state", NameOf(record.state)},
          {"host", record.address.host},
          {"peer_port", record.address.peer_port},
          {"control_port", record.address.control_port},
          {"domain", record.domain.value()},
          {"service", record.service.value()}};
}

json::object DiffToJson(const row_settings& before, const row_settings& after) {
  const json::object old_columns = ToJson(before);
  json::object diff;
  for (const auto& [column, value] : ToJson(after)) {
    const json::value& old_value = old_columns.at(column);
    if (old_value != value) {
      diff[column] = json::object{{"before", old_value}, {"after", value}};
    }
  }
  return diff;
}

std::string ParseSettings(const json::value& value, row_settings& settings) {
  const json::object* columns = value.if_object();
  if (columns == nullptr) {
    return "settings: must be an object";
  }
  for (const auto& [column, column_value] : *columns) {
    if (!ParseColumn(column, column_value, settings)) {
      return std::string(column) + ": no such column, or not of its type";
    }
  }
  return {};
}

}  // namespace auburnfold
