#ifndef STANDINS_CHECKED_ARGS_H_
#define STANDINS_CHECKED_ARGS_H_

#include <tclap/CmdLine.h>

#include <string>

namespace auburnfold {

inline constexpr int kExitUsage = 64;
inline constexpr int kExitUnavailable = 69;
inline constexpr int kExitCutRequests = 75;

/// Accepts numbers of a closed range on the command line.
template <class number>
class range_constraint : public TCLAP::Constraint<number> {
 public:
  range_constraint(number lowest, number highest)
      : lowest_(lowest), highest_(highest) {}

  std::string description() const override { return shortID(); }
  std::string shortID() const override {
    return std::to_string(lowest_) + " to " + std::to_string(highest_);
  }
  bool check(const number& value) const override {
    return lowest_ <= value && value <= highest_;
  }

 private:
  number lowest_;
  number highest_;
};

}  // namespace auburnfold

#endif  // STANDINS_CHECKED_ARGS_H_
