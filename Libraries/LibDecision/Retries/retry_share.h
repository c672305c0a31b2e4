#ifndef LIBDECISION_RETRIES_RETRY_SHARE_H_
#define LIBDECISION_RETRIES_RETRY_SHARE_H_

namespace auburnfold {

/// Bounds the retries of one node to a share of its first attempts.
class retry_share {
 public:
  void OnFirstAttempt();
  /// Takes one retry; false if the share is used up.
  bool TryTake();

 private:
  /// Retries that may be made at once.
  double tokens_ = 10;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_SHARE_H_
