#ifndef LIBDECISION_TEXT_WORDS_H_
#define LIBDECISION_TEXT_WORDS_H_

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

namespace auburnfold {

/// Reads words and lines off the front of a text. `TakeNumber` and `TakeFlag`
/// read the word before the next space and return whether it is valid.
class word_reader {
 public:
  explicit word_reader(std::string_view text) : rest_(text) {}

  /// Returns the text before the next `end`, or the rest, and moves past `end`.
  std::string_view TakeUntil(char end) {
    const std::size_t found = rest_.find(end);
    const std::string_view taken = rest_.substr(0, found);
    rest_.remove_prefix(found == std::string_view::npos ? rest_.size()
                                                        : found + 1);
    return taken;
  }

  template <class number>
  bool TakeNumber(number& read) {
    const std::string_view word = TakeUntil(' ');
    const char* word_end = word.data() + word.size();
    const auto [parse_end, error] =
        std::from_chars(word.data(), word_end, read);
    return error == std::errc() && parse_end == word_end && !word.empty();
  }

  bool TakeFlag(bool& read) {
    int number = 0;
    const bool is_number = TakeNumber(number);
    read = number == 1;
    return is_number && (number == 0 || number == 1);
  }

  bool is_empty() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

inline void AppendWord(std::string& line, std::string_view word) {
  line += word;
  line += ' ';
}

inline void AppendNumber(std::string& line, std::uint64_t number) {
  AppendWord(line, std::to_string(number));
}

}  // namespace auburnfold

#endif  // LIBDECISION_TEXT_WORDS_H_
