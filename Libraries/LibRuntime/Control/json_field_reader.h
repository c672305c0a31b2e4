#ifndef LIBRUNTIME_CONTROL_JSON_FIELD_READER_H_
#define LIBRUNTIME_CONTROL_JSON_FIELD_READER_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Reads the fields of one JSON object that another node sent, and remembers
/// whether one was missing or of the wrong kind.
class json_field_reader {
 public:
  explicit json_field_reader(const boost::json::value& value)
      : object_(value.if_object()) {}

  std::uint64_t Number(
      std::string_view name,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::uint32_t Count(std::string_view name);
  /// A number of milliseconds, at most a minute.
  duration Delay(std::string_view name);
  bool Flag(std::string_view name);
  std::string Text(std::string_view name);
  const boost::json::array* Array(std::string_view name);

  bool is_valid() const { return is_valid_ && object_ != nullptr; }

 private:
  const boost::json::value* Find(std::string_view name) const;

  const boost::json::object* object_;
  bool is_valid_ = true;
};

/// Reads every element of `array` with `read`; unset if one is malformed or
/// there are more than `max_size`.
template <class item>
std::optional<std::vector<item>> ReadAll(const boost::json::array* array,
                                         std::size_t max_size,
                                         item (*read)(json_field_reader&)) {
  if (array == nullptr || array->size() > max_size) {
    return std::nullopt;
  }
  std::vector<item> items;
  for (const boost::json::value& value : *array) {
    json_field_reader fields(value);
    items.push_back(read(fields));
    if (!fields.is_valid()) {
      return std::nullopt;
    }
  }
  return items;
}

/// The value that `text` holds; null if it is malformed.
boost::json::value ParseJson(std::string_view text);

/// `value` in whole milliseconds, rounded up; 0 if it is negative.
std::uint64_t ToMillisecondsRoundedUp(duration value);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_JSON_FIELD_READER_H_
