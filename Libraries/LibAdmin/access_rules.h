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
  /// Services whose rows the team may edit; `*` stands for all services.
  std::vector<std::string> services;
  bool may_drain = false;

  bool may_edit(std::string_view service) const;
};

/// Access rules of the administration API. If no team is configured, reads need
/// no token and all changes are refused.
class access_rules {
 public:
  /// Parses `{"teams": [{"name", "token", "services", "drain"}]}`. Returns
  /// nothing and sets `error_text` if `text` is invalid.
  static std::optional<access_rules> Parse(std::string_view text,
                                           std::string& error_text);

  /// Returns the team whose token an `Authorization` header carries, or null.
  /// The time taken does not depend on how much of a token matches, so that it
  /// gives no hint about the tokens.
  const admin_team* Authenticate(std::string_view authorization) const;
  bool allows_anonymous_reads() const { return teams_.empty(); }

 private:
  std::vector<admin_team> teams_;
};

}  // namespace auburnfold

#endif  // LIBADMIN_ACCESS_RULES_H_
