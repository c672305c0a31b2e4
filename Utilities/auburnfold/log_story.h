#ifndef AUBURNFOLD_LOG_STORY_H_
#define AUBURNFOLD_LOG_STORY_H_

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace auburnfold {

/// What the nodes' logs tell of one request, and of the calls made for it.
class log_story {
 public:
  explicit log_story(std::string request) : request_(std::move(request)) {}

  /// Reads log lines; text before the JSON object of a line is passed over.
  void Read(std::istream& log);
  /// Writes the story in the order of time.
  void Write(std::ostream& out) const;

  bool is_empty() const { return lines_.empty(); }
  /// Lines that are no log line of a node.
  std::uint64_t unread_lines() const { return unread_; }

 private:
  struct story_line {
    std::string time;
    std::string text;
  };

  void ReadLine(std::string_view line);

  std::string request_;
  std::vector<story_line> lines_;
  std::uint64_t unread_ = 0;
};

/// How often each kind of decision with each reason stands in the logs, and
/// when it came first.
class log_summary {
 public:
  void Read(std::istream& log);
  /// Writes the most frequent first.
  void Write(std::ostream& out) const;

  std::uint64_t unread_lines() const { return unread_; }

 private:
  struct tally {
    std::uint64_t count = 0;
    std::string first;
  };

  std::map<std::string, tally> tallies_;
  std::uint64_t unread_ = 0;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOG_STORY_H_
