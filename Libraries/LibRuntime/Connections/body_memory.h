#ifndef LIBRUNTIME_CONNECTIONS_BODY_MEMORY_H_
#define LIBRUNTIME_CONNECTIONS_BODY_MEMORY_H_

#include <algorithm>
#include <cstddef>

namespace auburnfold {

/// Bounds the memory of all bodies that are held at once. Peers that send large
/// bodies on many connections would otherwise exhaust the memory of the
/// process, although each body is bounded.
class body_memory {
 public:
  explicit body_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Returns whether `bytes` more are available, and reserves them if so.
  bool TryReserve(std::size_t bytes) {
    if (bytes > max_bytes_ - used_bytes_) {
      return false;
    }
    used_bytes_ += bytes;
    peak_bytes_ = std::max(peak_bytes_, used_bytes_);
    return true;
  }
  void Release(std::size_t bytes) { used_bytes_ -= bytes; }

  /// Bytes that may be reserved for bodies that are only expected. Half of the
  /// memory is left to those that have come.
  std::size_t room_for_expected() const {
    const std::size_t bound = max_bytes_ / 2;
    return std::min(bound - std::min(expected_bytes_, bound),
                    max_bytes_ - used_bytes_);
  }
  /// As `TryReserve`, within that room.
  bool TryReserveExpected(std::size_t bytes) {
    if (bytes > room_for_expected() || !TryReserve(bytes)) {
      return false;
    }
    expected_bytes_ += bytes;
    return true;
  }
  void ReleaseExpected(std::size_t bytes) {
    expected_bytes_ -= bytes;
    Release(bytes);
  }

  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t peak_bytes() const { return peak_bytes_; }

 private:
  std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
  std::size_t peak_bytes_ = 0;
  /// The part of `used_bytes_` that was reserved for expected bodies.
  std::size_t expected_bytes_ = 0;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_BODY_MEMORY_H_
