#ifndef LIBDECISION_ROUTES_HOST_NAME_H_
#define LIBDECISION_ROUTES_HOST_NAME_H_

#include <algorithm>
#include <string>
#include <string_view>

namespace auburnfold {

/// The form of a host name in which routes compare it: without its port, in
/// lower case.
inline std::string NormalizeHost(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](char character) {
    const bool is_upper = character >= 'A' && character <= 'Z';
    return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
  });
  return key;
}

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_HOST_NAME_H_
