#include "LibRuntime/Connections/response_delivery.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace auburnfold {

namespace {

/// Responses that are remembered by their requests' ids.
constexpr std::size_t kMaxRemembered = 64;

/// Bytes that were written and that the peer's system has not acknowledged; 0
/// if the connection is gone.
std::uint64_t UnacknowledgedBytes(tcp::socket& socket) {
  int bytes = 0;
  if (!socket.is_open() ||
      ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(std::max(bytes, 0));
}

}  // namespace

void response_delivery::OnWritten(std::size_t bytes, clock::time_point now) {
  written_bytes_ += bytes;
  progress_at_ = now;
  is_complete_ = false;
}

void response_delivery::OnResponseWritten(request_id request,
                                          clock::time_point deadline) {
  deadline_ = std::max(deadline_, deadline);
  if (request.value().empty()) {
    return;
  }
  if (responses_.size() == kMaxRemembered) {
    responses_.erase(responses_.begin());
  }
  responses_.push_back({std::move(request), written_bytes_});
}

void response_delivery::Update(tcp::socket& socket, clock::time_point now) {
  if (is_complete_) {
    return;
  }
  const std::uint64_t bytes = UnacknowledgedBytes(socket);
  if (bytes != unacknowledged_bytes_) {
    progress_at_ = now;
  }
  unacknowledged_bytes_ = bytes;
  is_complete_ = bytes == 0;
  // The end of the connection counts as a byte once it is sent.
  const std::uint64_t received =
      written_bytes_ - std::min(written_bytes_, bytes);
  std::erase_if(responses_, [received](const written_response& response) {
    return response.end <= received;
  });
}

std::vector<request_id> response_delivery::UndeliveredRequests() const {
  std::vector<request_id> requests;
  requests.reserve(responses_.size());
  for (const written_response& response : responses_) {
    requests.push_back(response.request);
  }
  return requests;
}

}  // namespace auburnfold
