#ifndef LIBWIRE_MESSAGE_JSON_H_
#define LIBWIRE_MESSAGE_JSON_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include "LibDecision/peer_message.h"

namespace auburnfold {

/// Converts a control message to nested arrays; docs/design/wire.md defines
/// their elements.
nlohmann::json ToJson(const peer_message& message);

/// Reverses `ToJson`. Fails with `decode_error` if `message` is not valid.
boost::leaf::result<peer_message> FromJson(const nlohmann::json& message);

}  // namespace auburnfold

#endif  // LIBWIRE_MESSAGE_JSON_H_
