#include "LibWire/base64.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <cstddef>

namespace auburnfold {

namespace {

namespace iterators = boost::archive::iterators;

using encoder = iterators::base64_from_binary<
    iterators::transform_width<const char*, 6, 8>>;
using decoder = iterators::
    transform_width<iterators::binary_from_base64<const char*>, 8, 6>;

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;

bool IsBase64Character(char character) {
  return (character >= 'A' && character <= 'Z') ||
         (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '+' ||
         character == '/';
}

}  // namespace

std::string ToBase64(std::string_view bytes) {
  std::string text(encoder(bytes.data()), encoder(bytes.data() + bytes.size()));
  const std::size_t remainder = bytes.size() % kGroupBytes;
  text.append(remainder == 0 ? 0 : kGroupBytes - remainder, '=');
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0) {
    return std::nullopt;
  }
  const std::size_t digit_count = text.find_last_not_of('=') + 1;
  const std::size_t padding = text.size() - digit_count;
  const bool is_valid =
      padding < kGroupBytes &&
      std::all_of(text.begin(), text.begin() + digit_count, IsBase64Character);
  if (!is_valid) {
    return std::nullopt;
  }
  // The decoder reads groups of four characters only, so the padding is
  // replaced by 'A', which decodes to zero bits.
  std::string groups(text.substr(0, digit_count));
  groups.append(padding, 'A');
  std::string bytes(decoder(groups.data()),
                    decoder(groups.data() + groups.size()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace auburnfold
