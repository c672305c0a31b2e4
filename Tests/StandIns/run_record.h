#ifndef STANDINS_RUN_RECORD_H_
#define STANDINS_RUN_RECORD_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace auburnfold {

/// What happened to one request id or idempotency key.
struct run_counts {
  std::uint32_t started = 0;
  std::uint32_t finished = 0;
  std::uint32_t answered = 0;
};

/// What an endpoint itself saw, independent of what others say about it.
class run_record {
 public:
  void OnStarted(const std::string& request, const std::string& key);
  void OnFinished(const std::string& request, const std::string& key);
  void OnAnswered(const std::string& request, const std::string& key);
  void OnShed() { ++shed_; }
  void OnCancelled() { ++cancelled_; }
  void OnExpired() { ++expired_; }
  /// Work arrived although leaving was announced longer ago than allowed.
  void OnNewWorkWhileLeaving() { ++new_work_while_leaving_; }

  /// Totals, and the numbers of ids and keys that started more than once.
  boost::json::object Summary() const;
  /// The summary with the counts of each id and key.
  boost::json::object Whole() const;

 private:
  using counts_by_name = std::unordered_map<std::string, run_counts>;

  template <class change>
  void Change(const std::string& request,
              const std::string& key,
              const change& apply);

  run_counts totals_;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t expired_ = 0;
  std::uint64_t new_work_while_leaving_ = 0;
  /// Ids and keys that came after the record was full.
  std::uint64_t unrecorded_ = 0;
  counts_by_name by_request_;
  counts_by_name by_key_;
};

}  // namespace auburnfold

#endif  // STANDINS_RUN_RECORD_H_
