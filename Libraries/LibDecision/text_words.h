#ifndef LIBDECISION_TEXT_WORDS_H_
#define LIBDECISION_TEXT_WORDS_H_

#include <algorithm>
#include <bit>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace auburnfold {

/// Whether `text` is UTF-8 without control characters.
inline bool IsText(std::string_view text) {
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text.front());
    constexpr unsigned char kDelete = 0x7f;
    if (first < ' ' || first == kDelete) {
      return false;
    }
    // The number of leading ones is the length of a sequence.
    const auto length = first < kDelete
                            ? std::size_t{1}
                            : static_cast<std::size_t>(std::countl_one(first));
    const std::string_view sequence = text.substr(0, length);
    if ((first > kDelete && (length < 2 || length > 4)) ||
        sequence.size() < length) {
      return false;
    }
    for (const char next : sequence.substr(1)) {
      if (std::countl_one(static_cast<unsigned char>(next)) != 1) {
        return false;
      }
    }
    text.remove_prefix(length);
  }
  return true;
}

/// The first `max_bytes` of `text` with a question mark in place of each byte
/// that is not printable ASCII.
inline std::string ToPrintable(std::string_view text, std::size_t max_bytes) {
  std::string printable(text.substr(0, max_bytes));
  std::replace_if(
      printable.begin(), printable.end(),
      [](char each) { return each < ' ' || each > '~'; }, '?');
  return printable;
}

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
