#ifndef LIBDECISION_RETRIES_RETRY_BUDGET_H_
#define LIBDECISION_RETRIES_RETRY_BUDGET_H_

namespace auburnfold {

/// Limits the retries of one node to a fraction of its first attempts (token
/// bucket).
class retry_budget {
 public:
  /// Each first attempt adds `per_attempt` retries. The budget starts with
  /// `initial` retries and holds at most `max`.
  explicit retry_budget(double per_attempt = kNodeRetriesPerAttempt,
                        double initial = kInitialNodeRetries,
                        double max = kMaxNodeRetries)
      : per_attempt_(per_attempt), max_tokens_(max), tokens_(initial) {}

  void OnFirstAttempt();
  /// Spends one retry; false if the budget is exhausted.
  bool TrySpend();

 private:
  /// For all services of a node together.
  static constexpr double kNodeRetriesPerAttempt = 0.1;
  static constexpr double kInitialNodeRetries = 10;
  static constexpr double kMaxNodeRetries = 50;

  double per_attempt_;
  double max_tokens_;
  /// Retries available now.
  double tokens_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_BUDGET_H_
