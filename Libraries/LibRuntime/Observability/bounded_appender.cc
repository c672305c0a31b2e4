#include "LibRuntime/Observability/bounded_appender.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <csignal>
#include <sstream>

namespace auburnfold {

namespace {

/// Limit of the buffer for a slow reader.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

bool IsWritable(int descriptor) {
  pollfd poll_request{.fd = descriptor, .events = POLLOUT};
  return ::poll(&poll_request, 1, 0) == 1 &&
         (poll_request.revents & POLLOUT) != 0;
}

}  // namespace

// Without this, writing a line after the reader has closed the pipe would kill
// the process.
bounded_appender::bounded_appender(int descriptor) : descriptor_(descriptor) {
  std::signal(SIGPIPE, SIG_IGN);
}

bounded_appender::~bounded_appender() {
  destructorImpl();
}

void bounded_appender::Flush() {
  std::size_t flushed_bytes = 0;
  while (flushed_bytes < buffer_.size() && !is_broken_ &&
         IsWritable(descriptor_)) {
    const std::size_t size =
        std::min(kMaxWriteBytes, buffer_.size() - flushed_bytes);
    const ssize_t written =
        ::write(descriptor_, buffer_.data() + flushed_bytes, size);
    if (written < 0) {
      // The reader is gone, so all further lines are counted as dropped.
      is_broken_ = errno == EPIPE || errno == EBADF;
      break;
    }
    flushed_bytes += static_cast<std::size_t>(written);
  }
  buffer_.erase(0, flushed_bytes);
}

void bounded_appender::close() {
  Flush();
  closed = true;
}

void bounded_appender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (unreported_dropped_lines_ > 0) {
    const std::string notice = "{\"event\":\"lines_dropped\",\"count\":" +
                               std::to_string(unreported_dropped_lines_) +
                               "}\n";
    if (buffer_.size() + notice.size() <= kMaxBufferedBytes) {
      buffer_ += notice;
      unreported_dropped_lines_ = 0;
    }
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  Buffer(line.str());
}

void bounded_appender::Buffer(const std::string& line) {
  if (is_broken_ || buffer_.size() + line.size() > kMaxBufferedBytes) {
    ++unreported_dropped_lines_;
    ++total_dropped_lines_;
    return;
  }
  buffer_ += line;
}

}  // namespace auburnfold
