#include "LibWire/json_codec.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "LibWire/message_json.h"
#include "LibWire/nesting_guard.h"

namespace auburnfold {

wire_bytes json_codec::Encode(const peer_message& message) {
  constexpr int kNoIndent = -1;
  const std::string text = ToJson(message).dump(
      kNoIndent, ' ', false, nlohmann::json::error_handler_t::replace);
  return {text.begin(), text.end()};
}

boost::leaf::result<peer_message> json_codec::Decode(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return boost::leaf::new_error(decode_error::kTooLarge);
  }
  nesting_guard guard;
  if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &guard)) {
    return boost::leaf::new_error(decode_error::kMalformed);
  }
  return FromJson(
      nlohmann::json::parse(bytes.begin(), bytes.end(), nullptr, false));
}

}  // namespace auburnfold
