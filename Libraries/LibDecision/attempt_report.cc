#include "LibDecision/attempt_report.h"

namespace auburnfold {

std::string_view NameOf(attempt_state state) {
  switch (state) {
    case attempt_state::kUnknown:
      return "unknown";
    case attempt_state::kNeverArrived:
      return "never-arrived";
    case attempt_state::kAtWork:
      return "at-work";
    case attempt_state::kAnswered:
      return "answered";
  }
  return "unknown";
}

}  // namespace auburnfold
