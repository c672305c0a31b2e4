#ifndef STANDINS_STORE_CALLS_H_
#define STANDINS_STORE_CALLS_H_

#include <array>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "auburnfold-load/http_types.h"

namespace auburnfold {

enum class store_call_kind : std::uint8_t {
  kGet,
  kList,
  kPut,
  kWatch,
  kCreateLease,
  kRenewLease,
  kEndLease,
};

/// A parsed call of the key-value service. A change concerns one key.
/// FIXME: The service itself takes changes of up to 32 keys.
struct store_call {
  store_call_kind kind = store_call_kind::kGet;
  std::string key;
  std::string prefix;
  std::uint64_t expected = 0;
  std::uint64_t after = 0;
  /// Longest wait of a watch.
  std::uint64_t wait_ms = 0;
  double ttl_s = 0;
  std::optional<std::uint64_t> lease;
  std::string value;
};

/// Nothing if the request is none of the service's.
std::optional<store_call> ParseStoreCall(const http_request& request);

/// Counts calls by kind; a waiting watch is one call.
class store_call_counts {
 public:
  void Add(store_call_kind kind);
  boost::json::object Counts() const;

 private:
  static constexpr std::size_t kKinds =
      static_cast<std::size_t>(store_call_kind::kEndLease) + 1;

  std::array<std::uint64_t, kKinds> counts_{};
};

}  // namespace auburnfold

#endif  // STANDINS_STORE_CALLS_H_
