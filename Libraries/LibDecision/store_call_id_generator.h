#ifndef LIBDECISION_STORE_CALL_ID_GENERATOR_H_
#define LIBDECISION_STORE_CALL_ID_GENERATOR_H_

#include <cstdint>

#include "LibDecision/ids.h"

namespace auburnfold {

/// The parts of the reducer that call the key-value store.
enum class store_caller : std::uint8_t {
  kSeedDiscovery,
  kRowEditor,
  kRowWatch,
  kRegistration,
  kRegistryWatch,
  kRouteWatch,
  kCrashRecords,
  kKeyValidity,
};

/// Generates ids of store calls that are unique to one part of the reducer.
class store_call_id_generator {
 public:
  explicit store_call_id_generator(store_caller caller) : caller_(caller) {}

  store_call_id Next() {
    constexpr auto kCallerCount =
        static_cast<std::uint64_t>(store_caller::kKeyValidity) + 1;
    ++generated_;
    return store_call_id(generated_ * kCallerCount +
                         static_cast<std::uint64_t>(caller_));
  }

 private:
  store_caller caller_;
  std::uint64_t generated_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_CALL_ID_GENERATOR_H_
