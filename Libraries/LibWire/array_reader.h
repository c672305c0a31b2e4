#ifndef LIBWIRE_ARRAY_READER_H_
#define LIBWIRE_ARRAY_READER_H_

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

/// Reads the elements of a JSON array in order. Once an element is missing, of
/// the wrong type or out of range, `is_valid` is false and no further element
/// is read.
class array_reader {
 public:
  /// `array` must be an array of exactly `size` elements.
  array_reader(const nlohmann::json& array, std::size_t size)
      : array_(array), is_valid_(array.is_array() && array.size() == size) {}

  bool is_valid() const { return is_valid_; }
  /// Marks the array as invalid.
  void MarkInvalid() { is_valid_ = false; }

  /// Returns the next element, or null after a failure.
  const nlohmann::json& Next() {
    static const nlohmann::json kNull;
    return is_valid_ ? array_[next_index_++] : kNull;
  }

  template <std::unsigned_integral unsigned_type>
  void Read(unsigned_type& value,
            std::uint64_t max = std::numeric_limits<unsigned_type>::max()) {
    const nlohmann::json& element = Next();
    if (!element.is_number_unsigned() || element.get<std::uint64_t>() > max) {
      return MarkInvalid();
    }
    value = static_cast<unsigned_type>(element.get<std::uint64_t>());
  }

  void Read(bool& value) {
    const nlohmann::json& element = Next();
    if (!element.is_boolean()) {
      return MarkInvalid();
    }
    value = element.get<bool>();
  }

  /// Reads a string of at most 256 bytes.
  void Read(std::string& value) {
    constexpr std::size_t kMaxStringBytes = 256;
    const nlohmann::json& element = Next();
    if (!element.is_string() ||
        element.get_ref<const std::string&>().size() > kMaxStringBytes) {
      return MarkInvalid();
    }
    value = element.get<std::string>();
  }

  /// Reads a duration from an unsigned number of nanoseconds.
  void Read(duration& value) {
    std::uint64_t nanoseconds = 0;
    Read(nanoseconds,
         static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    value = duration(static_cast<std::int64_t>(nanoseconds));
  }

  /// Reads a `strong_value` from its underlying type.
  template <class strong_type>
  requires requires { typename strong_type::representation_type; }
  void Read(strong_type& value) {
    typename strong_type::representation_type underlying{};
    Read(underlying);
    value = strong_type(std::move(underlying));
  }

  template <std::unsigned_integral unsigned_type>
  void Read(std::vector<unsigned_type>& values) {
    const nlohmann::json& element = Next();
    if (!element.is_array()) {
      return MarkInvalid();
    }
    array_reader elements(element, element.size());
    values.resize(element.size());
    for (unsigned_type& value : values) {
      elements.Read(value);
    }
    is_valid_ = is_valid_ && elements.is_valid();
  }

 private:
  const nlohmann::json& array_;
  std::size_t next_index_ = 0;
  bool is_valid_;
};

}  // namespace auburnfold

#endif  // LIBWIRE_ARRAY_READER_H_
