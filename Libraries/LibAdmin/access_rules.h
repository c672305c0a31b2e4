#ifndef LIBADMIN_ACCESS_RULES_H_
#define LIBADMIN_ACCESS_RULES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnfold {

/// A team that may use the administration API.
struct admin_team {
  std::string name;
  std::string token;
  /// Services whose rows it may edit; `*` stands for all.
  std::vector<std::string> services;
  bool may_drain = false;

  bool may_edit(std::string_view service) const;
};

/// Who may use the administration API. Without teams everybody may read, and
/// nobody may change anything.
class access_rules {
 public:
  /// Reads `{"teams": [{"name", "token", "services", "drain"}]}`. Returns
  /// nothing and sets `error_text` if that makes no sense.
  static std::optional<access_rules> Parse(std::string_view text,
                                           std::string& error_text);

  /// The team with the token in an `Authorization` header, or null. Takes the
  /// same time whichever token is wrong, and wherever.
  const admin_team* Authenticate(std::string_view authorization) const;
  bool allows_anonymous_reads() const { return teams_.empty(); }

 private:
  std::vector<admin_team> teams_;
};

}  // namespace auburnfold

#endif  // LIBADMIN_ACCESS_RULES_H_
