#ifndef LIBWIRE_FIELD_READER_H_
#define LIBWIRE_FIELD_READER_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Reads the places of one list in order. After the first place that is
/// missing, of another type or out of range, nothing more is read and
/// `is_complete` is false.
class field_reader {
 public:
  /// A list must have exactly `size` places.
  field_reader(const nlohmann::json& list, std::size_t size)
      : list_(list), is_whole_(list.is_array() && list.size() == size) {}

  bool is_complete() const { return is_whole_; }
  void Reject() { is_whole_ = false; }

  /// The next place, or an empty value after a failure.
  const nlohmann::json& Next() {
    static const nlohmann::json kNothing;
    return is_whole_ ? list_[next_++] : kNothing;
  }

  template <std::unsigned_integral number>
  void Read(number& value,
            std::uint64_t highest = std::numeric_limits<number>::max()) {
    const nlohmann::json& place = Next();
    if (!place.is_number_unsigned() || place.get<std::uint64_t>() > highest) {
      return Reject();
    }
    value = static_cast<number>(place.get<std::uint64_t>());
  }

  void Read(bool& value) {
    const nlohmann::json& place = Next();
    if (!place.is_boolean()) {
      return Reject();
    }
    value = place.get<bool>();
  }

  void Read(std::string& value) {
    constexpr std::size_t kLongestText = 256;
    const nlohmann::json& place = Next();
    if (!place.is_string() ||
        place.get_ref<const std::string&>().size() > kLongestText) {
      return Reject();
    }
    value = place.get<std::string>();
  }

  /// A length of time in nanoseconds, not negative.
  void Read(duration& value) {
    std::uint64_t nanoseconds = 0;
    Read(nanoseconds,
         static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    value = duration(static_cast<std::int64_t>(nanoseconds));
  }

  /// A strong value.
  template <class strong>
  requires requires { typename strong::representation_type; }
  void Read(strong& value) {
    typename strong::representation_type plain{};
    Read(plain);
    value = strong(std::move(plain));
  }

  template <std::unsigned_integral number>
  void Read(std::vector<number>& values) {
    const nlohmann::json& place = Next();
    if (!place.is_array()) {
      return Reject();
    }
    field_reader inner(place, place.size());
    values.resize(place.size());
    for (number& value : values) {
      inner.Read(value);
    }
    is_whole_ = is_whole_ && inner.is_complete();
  }

 private:
  const nlohmann::json& list_;
  std::size_t next_ = 0;
  bool is_whole_;
};

}  // namespace auburnfold

#endif  // LIBWIRE_FIELD_READER_H_
