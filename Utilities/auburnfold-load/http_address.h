#ifndef AUBURNFOLD_LOAD_HTTP_ADDRESS_H_
#define AUBURNFOLD_LOAD_HTTP_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnfold {

/// An IP number and a TCP port.
struct http_address {
  std::string host;
  std::uint16_t port = 0;

  friend auto operator<=>(const http_address&, const http_address&) = default;
};

/// Reads `HOST:PORT`; nothing if the port is absent or outside 1 to 65535.
std::optional<http_address> ParseHttpAddress(std::string_view text);

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_HTTP_ADDRESS_H_
