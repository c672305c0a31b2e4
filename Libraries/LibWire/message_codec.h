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
inline constexpr std::size_t kMessageLimitBytes = std::size_t{1024} * 1024;

/// Why bytes are no control message.
enum class wire_error : std::uint8_t {
  kTooLarge,        ///< More than `kMessageLimitBytes`.
  kMalformed,       ///< Not the codec's syntax, truncated, or nested deeply.
  kUnknownVersion,  ///< Of a format that this program does not know.
  kUnknownContent,  ///< A kind of message that this program does not know.
  kWrongShape,      ///< A field is missing, of another type, or out of range.
};

using wire_bytes = std::vector<std::uint8_t>;

/// Turns control messages into bytes and back. `Decode` fails with
/// `wire_error`, for any bytes whatever.
template <class codec>
concept message_codec = requires(const peer_message& message,
                                 std::span<const std::uint8_t> bytes) {
  { codec::Encode(message) } -> std::same_as<wire_bytes>;
  { codec::Decode(bytes) } -> std::same_as<boost::leaf::result<peer_message>>;
};

}  // namespace auburnfold

#endif  // LIBWIRE_MESSAGE_CODEC_H_
