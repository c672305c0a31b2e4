#ifndef LIBDECISION_RETRIES_RETRY_SHARE_H_
#define LIBDECISION_RETRIES_RETRY_SHARE_H_

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

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_SHARE_H_
