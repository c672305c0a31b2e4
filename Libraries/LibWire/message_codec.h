#ifndef LIBWIRE_MESSAGE_CODEC_H_
#define LIBWIRE_MESSAGE_CODEC_H_

#include <boost/leaf/result.hpp>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "LibDecision/peer_message.h"

namespace auburnfold {

/// Largest encoded control message, in bytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1024} * 1024;

/// Why decoding a control message failed.
enum class decode_error : std::uint8_t {
  kTooLarge,        ///< More than `kMaxMessageBytes`.
  kMalformed,       ///< Invalid CBOR or JSON, truncated, or nested too deeply.
  kUnknownVersion,  ///< Unsupported version of the message format.
  kUnknownMessageKind,  ///< Unsupported kind of message.
  kSchemaMismatch,  ///< A field is missing, of another type, or out of range.
};

using wire_bytes = std::vector<std::uint8_t>;

/// Encodes and decodes control messages. `Decode` accepts arbitrary bytes, and
/// fails with `decode_error` if they are not a valid message.
template <class codec>
concept message_codec = requires(const peer_message& message,
                                 std::span<const std::uint8_t> bytes) {
  { codec::Encode(message) } -> std::same_as<wire_bytes>;
  { codec::Decode(bytes) } -> std::same_as<boost::leaf::result<peer_message>>;
};

}  // namespace auburnfold

#endif  // LIBWIRE_MESSAGE_CODEC_H_
