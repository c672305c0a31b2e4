#ifndef LIBWIRE_CBOR_CODEC_H_
#define LIBWIRE_CBOR_CODEC_H_

#include "LibWire/message_codec.h"

namespace auburnfold {

/// Encodes control messages between nodes as CBOR (RFC 8949).
struct cbor_codec {
  static wire_bytes Encode(const peer_message& message);
  static boost::leaf::result<peer_message> Decode(
      std::span<const std::uint8_t> bytes);
};

static_assert(message_codec<cbor_codec>);

}  // namespace auburnfold

#endif  // LIBWIRE_CBOR_CODEC_H_
