#ifndef TESTS_LIBRUNTIME_RECEIVE_WINDOW_H_
#define TESTS_LIBRUNTIME_RECEIVE_WINDOW_H_

#include <cstdint>

namespace auburnfold::testing_support {

/// How many bytes the system of a test's client or server takes that were not
/// read.
enum class receive_window : std::uint8_t { kDefault, kSmall };

}  // namespace auburnfold::testing_support

#endif  // TESTS_LIBRUNTIME_RECEIVE_WINDOW_H_
