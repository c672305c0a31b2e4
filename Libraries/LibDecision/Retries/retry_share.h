#ifndef LIBDECISION_RETRIES_RETRY_SHARE_H_
#define LIBDECISION_RETRIES_RETRY_SHARE_H_

#include <unordered_map>

#include "LibDecision/ids.h"

namespace auburnfold {

/// Bounds the retries of one node to a share of its first attempts.
class retry_share {
 public:
  /// `per_attempt` retries are earned with each first attempt; `first` are
  /// there at the start, and at most `most` are kept.
  explicit retry_share(double per_attempt = kNodeRetriesPerAttempt,
                       double first = kFirstNodeRetries,
                       double most = kMostNodeRetries)
      : per_attempt_(per_attempt), most_(most), tokens_(first) {}

  void OnFirstAttempt();
  /// Takes one retry; false if the share is used up.
  bool TryTake();

 private:
  /// For all services of a node together.
  static constexpr double kNodeRetriesPerAttempt = 0.1;
  static constexpr double kFirstNodeRetries = 10;
  static constexpr double kMostNodeRetries = 50;

  double per_attempt_;
  double most_;
  /// Retries that may be made at once.
  double tokens_;
};

/// A share for each service. All nodes together stay within the repeats that a
/// service can bear, whatever each of them does, since each keeps to its own.
///
/// Answers faults deep in a call graph: a run that is itself a repeat repeats
/// all its calls, and those count against the share of the service called. So
/// one share holds at every level, however many levels repeat.
class service_retry_shares {
 public:
  /// A request goes to `service` for the first time.
  void OnFirstAttempt(const service_name& service, bool is_repeat);
  /// Takes one retry. When few are left they are kept for what is important.
  bool TryTake(const service_name& service, bool is_important);

 private:
  /// Retries that may be made at once, by service.
  std::unordered_map<service_name, double> tokens_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_SHARE_H_
