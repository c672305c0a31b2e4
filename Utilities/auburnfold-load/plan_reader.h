#ifndef AUBURNFOLD_LOAD_PLAN_READER_H_
#define AUBURNFOLD_LOAD_PLAN_READER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "auburnfold-load/http_address.h"

namespace auburnfold {

/// Reads the members of one object of a plan, checks their ranges, and
/// refuses members nobody reads. Throws plan_error with the path of the key.
class plan_reader {
 public:
  using visit = std::function<void(plan_reader&)>;

  plan_reader(const boost::json::value& value, std::string path);

  /// An absent member gives `fallback`.
  double Number(const char* name, double fallback, double low, double high);
  bool Flag(const char* name, bool fallback);
  std::string Text(const char* name, const std::string& fallback);
  std::vector<std::string> Texts(const char* name);
  std::vector<http_address> Addresses(const char* name);
  /// Visits the member object, or each object of the member list; an absent
  /// member is not visited.
  void Object(const char* name, const visit& read);
  void Objects(const char* name, const visit& read);
  /// Throws if a member has not been read.
  void RefuseOthers() const;

  [[noreturn]] void Fail(const std::string& name,
                         const std::string& reason) const;

 private:
  const boost::json::value* Find(const char* name);
  const boost::json::array* FindList(const char* name);

  const boost::json::object* object_;
  std::string path_;
  std::set<std::string> known_;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_PLAN_READER_H_
