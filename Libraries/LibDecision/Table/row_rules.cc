#include "LibDecision/Table/row_rules.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburnfold {

namespace {

constexpr std::size_t kLongestName = 64;
constexpr std::int64_t kGreatestWeight = 1000;
constexpr std::int64_t kGreatestPriority = 7;
constexpr std::int64_t kGreatestConcurrency = 100000;
constexpr std::int64_t kGreatestAllowance = 16;
constexpr std::int64_t kLongestDeadlineMs = 600000;
constexpr std::int64_t kLongestQueueMs = 10000;

std::optional<std::string> OutOfRange(std::string_view column,
                                      std::int64_t value,
                                      std::int64_t least,
                                      std::int64_t greatest) {
  if (value >= least && value <= greatest) {
    return std::nullopt;
  }
  return std::string(column) + ": " + std::to_string(value) +
         " is not between " + std::to_string(least) + " and " +
         std::to_string(greatest);
}

std::int64_t InMilliseconds(duration length) {
  return std::chrono::floor<std::chrono::milliseconds>(length).count();
}

bool IsNameCharacter(char each) {
  return (each >= 'a' && each <= 'z') || (each >= '0' && each <= '9') ||
         each == '-' || each == '_' || each == '.';
}

std::optional<std::string> BadName(std::string_view column,
                                   std::string_view name) {
  const bool is_good = !name.empty() && name.size() <= kLongestName &&
                       std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (is_good) {
    return std::nullopt;
  }
  return std::string(column) + ": must be 1 to " +
         std::to_string(kLongestName) +
         " characters of a-z, 0-9, '-', '_' and '.'";
}

bool IsPrintable(char each) {
  return each > ' ' && each <= '~';
}

std::optional<std::string> BadWord(std::string_view column,
                                   std::string_view word) {
  const bool is_good = !word.empty() && word.size() <= kLongestName &&
                       std::all_of(word.begin(), word.end(), IsPrintable);
  if (is_good) {
    return std::nullopt;
  }
  return std::string(column) + ": must be 1 to " +
         std::to_string(kLongestName) +
         " printable characters without white space";
}

template <class... faults>
std::optional<std::string> FirstOf(const faults&... each) {
  std::optional<std::string> first;
  ((first = first ? first : each), ...);
  return first;
}

}  // namespace

std::optional<std::string> FaultIn(const row_settings& settings) {
  return FirstOf(
      OutOfRange("weight", settings.weight, 1, kGreatestWeight),
      OutOfRange("priority", settings.priority, 0, kGreatestPriority),
      OutOfRange("concurrency_limit", settings.concurrency_limit, 0,
                 kGreatestConcurrency),
      OutOfRange("retry_allowance", settings.retry_allowance, 0,
                 kGreatestAllowance),
      OutOfRange("longest_deadline_ms",
                 InMilliseconds(settings.longest_deadline), 1,
                 kLongestDeadlineMs),
      OutOfRange("queue_limit_ms", InMilliseconds(settings.queue_limit), 0,
                 kLongestQueueMs));
}

std::optional<std::string> FaultIn(const service_name& service,
                                   const class_name& request_class) {
  return FirstOf(BadName("service", service.value()),
                 BadName("class", request_class.value()));
}

std::optional<std::string> FaultIn(const edit_row& edit) {
  return FirstOf(FaultIn(edit.service, edit.request_class),
                 FaultIn(edit.settings), BadWord("change", edit.change.value()),
                 BadWord("author", edit.author));
}

}  // namespace auburnfold
