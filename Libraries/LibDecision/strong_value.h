#ifndef LIBDECISION_STRONG_VALUE_H_
#define LIBDECISION_STRONG_VALUE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace auburnfold {

/// A strong typedef of `representation`. Values with different tags do not
/// convert to each other.
template <class tag, class representation>
class strong_value {
 public:
  using representation_type = representation;

  strong_value() = default;
  explicit strong_value(representation value) : value_(std::move(value)) {}

  const representation& value() const { return value_; }

  friend auto operator<=>(const strong_value&, const strong_value&) = default;
  friend bool operator==(const strong_value&, const strong_value&) = default;

 private:
  representation value_{};
};

}  // namespace auburnfold

template <class tag, class representation>
struct std::hash<auburnfold::strong_value<tag, representation>> {
  std::size_t operator()(
      const auburnfold::strong_value<tag, representation>& id) const {
    return std::hash<representation>{}(id.value());
  }
};

#endif  // LIBDECISION_STRONG_VALUE_H_
