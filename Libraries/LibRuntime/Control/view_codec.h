#ifndef LIBRUNTIME_CONTROL_VIEW_CODEC_H_
#define LIBRUNTIME_CONTROL_VIEW_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/peer_view.h"

namespace auburnfold {

/// Encodes a view as one line per member, an empty line, and the routes as
/// they were read from the store.
std::string EncodeView(const peer_view& view);

/// Parses the text that `EncodeView` writes; nothing if it is not valid.
std::optional<peer_view> DecodeView(std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_VIEW_CODEC_H_
