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

bool IsBase64Character(char letter) {
  return (letter >= 'A' && letter <= 'Z') || (letter >= 'a' && letter <= 'z') ||
         (letter >= '0' && letter <= '9') || letter == '+' || letter == '/';
}

}  // namespace

std::string ToBase64(std::string_view bytes) {
  std::string text(encoder(bytes.data()), encoder(bytes.data() + bytes.size()));
  const std::size_t over = bytes.size() % kGroupBytes;
  text.append(over == 0 ? 0 : kGroupBytes - over, '=');
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0) {
    return std::nullopt;
  }
  const std::size_t digits = text.find_last_not_of('=') + 1;
  const std::size_t padding = text.size() - digits;
  const bool is_complete =
      padding < kGroupBytes &&
      std::all_of(text.begin(), text.begin() + digits, IsBase64Character);
  if (!is_complete) {
    return std::nullopt;
  }
  // The decoder reads whole groups, so the padding is read as zeros.
  std::string groups(text.substr(0, digits));
  groups.append(padding, 'A');
  std::string bytes(decoder(groups.data()),
                    decoder(groups.data() + groups.size()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace auburnfold
