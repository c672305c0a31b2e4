#ifndef LIBRUNTIME_CONNECTIONS_RESPONSE_DELIVERY_H_
#define LIBRUNTIME_CONNECTIONS_RESPONSE_DELIVERY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibDecision/ids.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// How far the peer of a connection has received the responses that were
/// written to it. Closing the connection before can lose the rest.
class response_delivery {
 public:
  using clock = std::chrono::steady_clock;

  /// `bytes` of a response were handed to the operating system.
  void OnWritten(std::size_t bytes, clock::time_point now);
  /// The response to `request` was handed over; its caller waits for it until
  /// `deadline`.
  void OnResponseWritten(request_id request, clock::time_point deadline);
  /// Asks the operating system what the peer has acknowledged.
  void Update(tcp::socket& socket, clock::time_point now);

  /// Whether the peer had acknowledged everything at the last update.
  bool is_complete() const { return is_complete_; }
  /// When the peer was last sent something, or seen to acknowledge something.
  clock::time_point progress_at() const { return progress_at_; }
  /// Until when a caller waits for any of the responses.
  clock::time_point deadline() const { return deadline_; }
  /// The requests whose responses are not received completely, as far as they
  /// have an id; the last ones if there are many.
  std::vector<request_id> UndeliveredRequests() const;

 private:
  struct written_response {
    request_id request;
    /// Bytes written to the connection up to the end of this response.
    std::uint64_t end = 0;
  };

  std::vector<written_response> responses_;
  std::uint64_t written_bytes_ = 0;
  std::uint64_t unacknowledged_bytes_ = 0;
  clock::time_point progress_at_{};
  clock::time_point deadline_{};
  bool is_complete_ = true;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_RESPONSE_DELIVERY_H_
