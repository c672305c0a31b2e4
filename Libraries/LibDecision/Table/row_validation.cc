#include "LibDecision/Table/row_validation.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburnfold {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxPriority = 7;
constexpr std::int64_t kMaxConcurrencyLimit = 100000;
constexpr std::int64_t kMaxRetryAllowance = 16;
constexpr std::int64_t kMaxDeadlineMs = 600000;
constexpr std::int64_t kMaxQueueLimitMs = 10000;

std::optional<std::string> ValidateRange(std::string_view column,
                                         std::int64_t value,
                                         std::int64_t min,
                                         std::int64_t max) {
  if (value >= min && value <= max) {
    return std::nullopt;
  }
  return std::string(column) + ": " + std::to_string(value) +
         " is not between " + std::to_string(min) + " and " +
         std::to_string(max);
}

std::int64_t InMilliseconds(duration length) {
  return std::chrono::floor<std::chrono::milliseconds>(length).count();
}

bool IsNameCharacter(char each) {
  return (each >= 'a' && each <= 'z') || (each >= '0' && each <= '9') ||
         each == '-' || each == '_' || each == '.';
}

std::optional<std::string> ValidateName(std::string_view column,
                                        std::string_view name) {
  const bool is_valid = !name.empty() && name.size() <= kMaxNameLength &&
                        std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (is_valid) {
    return std::nullopt;
  }
  return std::string(column) + ": must be 1 to " +
         std::to_string(kMaxNameLength) +
         " characters of a-z, 0-9, '-', '_' and '.'";
}

bool IsPrintable(char each) {
  return each > ' ' && each <= '~';
}

std::optional<std::string> ValidateWord(std::string_view column,
                                        std::string_view word) {
  const bool is_valid = !word.empty() && word.size() <= kMaxNameLength &&
                        std::all_of(word.begin(), word.end(), IsPrintable);
  if (is_valid) {
    return std::nullopt;
  }
  return std::string(column) + ": must be 1 to " +
         std::to_string(kMaxNameLength) +
         " printable characters without white space";
}

template <class... errors>
std::optional<std::string> FirstError(const errors&... each) {
  std::optional<std::string> first;
  ((first = first ? first : each), ...);
  return first;
}

}  // namespace

std::optional<std::string> Validate(const row_settings& settings) {
  return FirstError(
      ValidateRange("weight", settings.weight, 1, kMaxWeight),
      ValidateRange("priority", settings.priority, 0, kMaxPriority),
      ValidateRange("concurrency_limit", settings.concurrency_limit, 0,
                    kMaxConcurrencyLimit),
      ValidateRange("retry_allowance", settings.retry_allowance, 0,
                    kMaxRetryAllowance),
      ValidateRange("longest_deadline_ms",
                    InMilliseconds(settings.longest_deadline), 1,
                    kMaxDeadlineMs),
      ValidateRange("queue_limit_ms", InMilliseconds(settings.queue_limit), 0,
                    kMaxQueueLimitMs));
}

std::optional<std::string> Validate(const service_name& service,
                                    const class_name& request_class) {
  return FirstError(ValidateName("service", service.value()),
                    ValidateName("class", request_class.value()));
}

std::optional<std::string> Validate(const edit_row& edit) {
  return FirstError(Validate(edit.service, edit.request_class),
                    Validate(edit.settings),
                    ValidateWord("change", edit.change.value()),
                    ValidateWord("author", edit.author));
}

}  // namespace auburnfold
