#include <cstddef>
#include <cstdint>

#include "fuzz_targets.h"

// libFuzzer's entry; each fuzzing program is built for one target.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  auburnfold::fuzz::FUZZ_TARGET({data, size});
  return 0;
}
