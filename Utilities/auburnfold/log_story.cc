#include "auburnfold/log_story.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <string_view>

namespace auburnfold {

namespace json = boost::json;

namespace {

/// Longer lines are no lines of a node.
constexpr std::size_t kLongestLineBytes = std::size_t{64} * 1024;

std::optional<json::object> ParseLine(std::string_view line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos || line.size() > kLongestLineBytes) {
    return std::nullopt;
  }
  const std::string_view text = line.substr(begin);
  boost::system::error_code error;
  json::value parsed =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.get_object());
}

std::string TextOf(const json::object& line, std::string_view name) {
  const json::value* value = line.if_contains(name);
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

bool IsAbout(const json::object& line, const std::string& request) {
  const std::string own = TextOf(line, "request");
  return own == request || TextOf(line, "root") == request ||
         own.starts_with(request + ".");
}

}  // namespace

void log_story::Read(std::istream& log) {
  std::string line;
  while (std::getline(log, line)) {
    if (!line.empty()) {
      ReadLine(line);
    }
  }
}

void log_story::ReadLine(std::string_view line) {
  auto parsed = ParseLine(line);
  if (!parsed) {
    ++unread_;
    return;
  }
  if (!IsAbout(*parsed, request_)) {
    return;
  }
  std::string text = TextOf(*parsed, "event");
  const std::string time = TextOf(*parsed, "time");
  for (const auto& [name, value] : *parsed) {
    const bool is_heading =
        name == "time" || name == "level" || name == "log" || name == "event";
    if (!is_heading) {
      text += ' ' + std::string(name) + '=' + TextOf(*parsed, name);
    }
  }
  lines_.push_back({time, std::move(text)});
}

void log_story::Write(std::ostream& out) const {
  std::vector<story_line> ordered = lines_;
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const story_line& left, const story_line& right) {
                     return left.time < right.time;
                   });
  for (const story_line& line : ordered) {
    out << line.time << ' ' << line.text << '\n';
  }
}

void log_summary::Read(std::istream& log) {
  std::string line;
  while (std::getline(log, line)) {
    const auto parsed = ParseLine(line);
    const std::string event = parsed ? TextOf(*parsed, "event") : "";
    if (event.empty()) {
      unread_ += line.empty() ? 0 : 1;
      continue;
    }
    std::string name = event;
    for (const std::string_view field : {"error", "service"}) {
      const std::string value = TextOf(*parsed, field);
      name += value.empty() ? "" : ' ' + value;
    }
    tally& found = tallies_[name];
    ++found.count;
    const std::string time = TextOf(*parsed, "time");
    found.first = found.first.empty() ? time : std::min(found.first, time);
  }
}

void log_summary::Write(std::ostream& out) const {
  std::vector<std::pair<std::string, tally>> ordered(tallies_.begin(),
                                                     tallies_.end());
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const auto& left, const auto& right) {
                     return left.second.count > right.second.count;
                   });
  for (const auto& [name, found] : ordered) {
    out << found.count << ' ' << name << ", first at " << found.first << '\n';
  }
}

}  // namespace auburnfold
