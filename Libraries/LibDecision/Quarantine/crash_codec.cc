#include "LibDecision/Quarantine/crash_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "LibDecision/text_words.h"

namespace auburnfold {

namespace {

// Format and version of the values.
constexpr std::string_view kFormatTag = "auburnfold-crash-1";

}  // namespace

std::string CrashKey(crash_id crash) {
  return std::string(kCrashPrefix) + std::to_string(crash.value());
}

std::string EncodeCrash(const crash_record& record) {
  std::string line;
  AppendWord(line, kFormatTag);
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(record.time_left).count();
  AppendNumber(line,
               static_cast<std::uint64_t>(std::max<std::int64_t>(seconds, 0)));
  for (const request_digest suspect : record.suspects) {
    AppendNumber(line, suspect.value());
  }
  return line;
}

std::optional<crash_record> DecodeCrash(std::string_view key,
                                        std::string_view value) {
  const std::optional<crash_id> id = ParseCrashKey(key);
  word_reader fields(value);
  std::uint32_t seconds = 0;
  if (!id || fields.TakeUntil(' ') != kFormatTag ||
      !fields.TakeNumber(seconds)) {
    return std::nullopt;
  }
  crash_record record{.id = *id, .time_left = std::chrono::seconds(seconds)};
  while (!fields.is_empty()) {
    std::uint64_t suspect = 0;
    if (!fields.TakeNumber(suspect)) {
      return std::nullopt;
    }
    record.suspects.emplace_back(suspect);
  }
  std::sort(record.suspects.begin(), record.suspects.end());
  record.suspects.erase(
      std::unique(record.suspects.begin(), record.suspects.end()),
      record.suspects.end());
  return record;
}

std::optional<crash_id> ParseCrashKey(std::string_view key) {
  if (!key.starts_with(kCrashPrefix)) {
    return std::nullopt;
  }
  word_reader digits(key.substr(kCrashPrefix.size()));
  std::uint64_t id = 0;
  if (!digits.TakeNumber(id) || !digits.is_empty()) {
    return std::nullopt;
  }
  return crash_id(id);
}

}  // namespace auburnfold
