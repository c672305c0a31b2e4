#include "LibDecision/Table/row_codec.h"

#include <cstdint>

#include "LibDecision/Table/row_validation.h"
#include "LibDecision/text_words.h"

namespace auburnfold {

namespace {

constexpr std::string_view kFormatLine = "auburnfold-row 1";

std::string EncodeVersion(const row_history_entry& entry) {
  const row_settings& settings = entry.row.settings;
  std::string line;
  AppendNumber(line, entry.row.version.value());
  AppendWord(line, entry.row.change.value());
  AppendWord(line, entry.author);
  AppendNumber(line, entry.row.is_deleted ? 1 : 0);
  AppendNumber(line, settings.weight);
  AppendNumber(line, settings.priority);
  AppendNumber(line, settings.concurrency_limit);
  AppendNumber(line, settings.retry_allowance);
  AppendNumber(line, settings.longest_deadline.count());
  AppendNumber(line, settings.queue_limit.count());
  AppendNumber(line, settings.is_idempotent ? 1 : 0);
  line.back() = '\n';
  return line;
}

bool DecodeVersion(std::string_view line, row_history_entry& entry) {
  word_reader words(line);
  row_settings& settings = entry.row.settings;
  std::uint64_t version = 0;
  if (!words.TakeNumber(version)) {
    return false;
  }
  entry.row.version = row_version(version);
  entry.row.change = change_id(std::string(words.TakeUntil(' ')));
  entry.author = std::string(words.TakeUntil(' '));
  duration::rep longest_deadline = 0;
  duration::rep queue_limit = 0;
  const bool is_valid = words.TakeFlag(entry.row.is_deleted) &&
                        words.TakeNumber(settings.weight) &&
                        words.TakeNumber(settings.priority) &&
                        words.TakeNumber(settings.concurrency_limit) &&
                        words.TakeNumber(settings.retry_allowance) &&
                        words.TakeNumber(longest_deadline) &&
                        words.TakeNumber(queue_limit) &&
                        words.TakeFlag(settings.is_idempotent);
  settings.longest_deadline = duration(longest_deadline);
  settings.queue_limit = duration(queue_limit);
  return is_valid && words.is_empty() && !Validate(settings);
}

}  // namespace

std::string RowKey(const service_name& service,
                   const class_name& request_class) {
  return std::string(kRowKeyPrefix) + service.value() + "/" +
         request_class.value();
}

std::string EncodeRow(const row_versions& versions) {
  std::string value(kFormatLine);
  value += '\n';
  for (const row_history_entry& entry : versions) {
    value += EncodeVersion(entry);
  }
  return value;
}

std::optional<row_versions> DecodeRow(std::string_view key,
                                      std::string_view value) {
  if (!key.starts_with(kRowKeyPrefix)) {
    return std::nullopt;
  }
  word_reader names(key.substr(kRowKeyPrefix.size()));
  const service_name service{std::string(names.TakeUntil('/'))};
  const class_name request_class{std::string(names.TakeUntil('/'))};
  if (Validate(service, request_class) || !names.is_empty()) {
    return std::nullopt;
  }
  word_reader lines(value);
  if (lines.TakeUntil('\n') != kFormatLine) {
    return std::nullopt;
  }
  row_versions versions;
  while (!lines.is_empty()) {
    row_history_entry entry;
    entry.row.service = service;
    entry.row.request_class = request_class;
    if (!DecodeVersion(lines.TakeUntil('\n'), entry)) {
      return std::nullopt;
    }
    versions.push_back(std::move(entry));
  }
  if (versions.empty()) {
    return std::nullopt;
  }
  return versions;
}

}  // namespace auburnfold
