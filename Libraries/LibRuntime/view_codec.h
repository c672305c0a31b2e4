#ifndef LIBRUNTIME_VIEW_CODEC_H_
#define LIBRUNTIME_VIEW_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/peer_view.h"

namespace auburnfold {

/// One line a member, an empty line, and the routes as they were read.
std::string EncodeView(const peer_view& view);

/// Nothing if `text` is not of that form.
std::optional<peer_view> DecodeView(std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_VIEW_CODEC_H_
