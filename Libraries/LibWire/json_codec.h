#ifndef LIBWIRE_JSON_CODEC_H_
#define LIBWIRE_JSON_CODEC_H_

#include "LibWire/message_codec.h"

namespace auburnfold {

/// Encodes control messages as JSON, with the same structure as `cbor_codec`.
/// For debugging.
struct json_codec {
  static wire_bytes Encode(const peer_message& message);
  static boost::leaf::result<peer_message> Decode(
      std::span<const std::uint8_t> bytes);
};

static_assert(message_codec<json_codec>);

}  // namespace auburnfold

#endif  // LIBWIRE_JSON_CODEC_H_
