#ifndef STANDINS_JSON_FIELDS_H_
#define STANDINS_JSON_FIELDS_H_

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

namespace auburnfold {

/// Reads the members of a JSON object and refuses those nobody asked for.
class json_fields {
 public:
  explicit json_fields(const boost::json::object& fields) : fields_(fields) {}

  /// Replaces `target` if the member is there. Throws std::runtime_error that
  /// names the member if its type is wrong.
  template <class value>
  void Read(std::string_view name, value& target) {
    known_.emplace(name);
    const boost::json::value* found = fields_.if_contains(name);
    if (found == nullptr) {
      return;
    }
    try {
      target = boost::json::value_to<value>(*found);
    } catch (const std::exception& error) {
      throw std::runtime_error(std::string(name) + ": " + error.what());
    }
  }

  /// The member itself, or null if it is absent.
  const boost::json::value* Find(std::string_view name) {
    known_.emplace(name);
    return fields_.if_contains(name);
  }

  /// Throws std::runtime_error if there is a member that was never read.
  void RefuseOthers() const {
    for (const auto& field : fields_) {
      if (!known_.contains(std::string(field.key()))) {
        throw std::runtime_error(std::string(field.key()) + ": unknown member");
      }
    }
  }

 private:
  const boost::json::object& fields_;
  std::set<std::string> known_;
};

}  // namespace auburnfold

#endif  // STANDINS_JSON_FIELDS_H_
