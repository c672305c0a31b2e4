#ifndef LIBWIRE_MESSAGE_JSON_H_
#define LIBWIRE_MESSAGE_JSON_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include "LibDecision/peer_message.h"

namespace auburnfold {

/// The message as nested lists; docs/design/wire.md names the places.
nlohmann::json ToJson(const peer_message& message);

/// The inverse of `ToJson`. Fails with `wire_error`.
boost::leaf::result<peer_message> FromJson(const nlohmann::json& message);

}  // namespace auburnfold

#endif  // LIBWIRE_MESSAGE_JSON_H_
