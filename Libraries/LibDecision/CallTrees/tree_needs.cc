#include "LibDecision/CallTrees/tree_needs.h"

#include <algorithm>

namespace auburnfold {

namespace {

constexpr double kSmoothing = 1.0 / 32;
// Callers choose class names, so the number of entries is bounded.
constexpr std::size_t kMaxEntries = 1024;

}  // namespace

bool tree_needs::OnCall(work_id work, const service_name& called) {
  std::vector<call_count>& counts = open_[work];
  const bool is_known = std::any_of(
      counts.begin(), counts.end(),
      [&called](const call_count& each) { return each.called == called; });
  if (!is_known) {
    counts.push_back({called});
  }
  return !is_known;
}

void tree_needs::OnCallAnswered(work_id work, const service_name& called) {
  const auto found = open_.find(work);
  if (found == open_.end()) {
    return;
  }
  for (call_count& each : found->second) {
    each.answered += each.called == called ? 1 : 0;
  }
}

void tree_needs::OnAnswered(work_id work, const class_name& request_class) {
  const auto found = open_.find(work);
  if (found == open_.end()) {
    return;
  }
  if (means_.size() >= kMaxEntries) {
    means_.clear();
  }
  for (const call_count& each : found->second) {
    const double calls = std::max<double>(each.answered, 1);
    const auto [mean, is_new] =
        means_.try_emplace({each.called, request_class}, calls);
    mean->second += kSmoothing * (calls - mean->second);
  }
}

double tree_needs::CallsOf(const class_name& parent_class,
                           const service_name& called) const {
  const auto found = means_.find({called, parent_class});
  return found == means_.end() ? 1 : found->second;
}

}  // namespace auburnfold
