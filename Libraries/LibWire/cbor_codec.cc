#include "LibWire/cbor_codec.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "LibWire/message_json.h"
#include "LibWire/nesting_guard.h"

namespace auburnfold {

wire_bytes cbor_codec::Encode(const peer_message& message) {
  return nlohmann::json::to_cbor(ToJson(message));
}

boost::leaf::result<peer_message> cbor_codec::Decode(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return boost::leaf::new_error(decode_error::kTooLarge);
  }
  nesting_guard guard;
  if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &guard,
                                 nlohmann::json::input_format_t::cbor)) {
    return boost::leaf::new_error(decode_error::kMalformed);
  }
  return FromJson(
      nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false));
}

}  // namespace auburnfold
