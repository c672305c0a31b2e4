#include "LibRuntime/bounded_appender.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <csignal>
#include <sstream>

namespace auburnfold {

namespace {

/// Bytes kept for a reader that is behind.
constexpr std::size_t kMostKeptBytes = std::size_t{256} * 1024;
/// A pipe that can be written to takes this much without waiting.
constexpr std::size_t kChunkBytes = PIPE_BUF;

bool IsWritable(int descriptor) {
  pollfd asked{.fd = descriptor, .events = POLLOUT};
  return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

}  // namespace

// A reader that has gone would else end the process with the next line.
bounded_appender::bounded_appender(int descriptor) : descriptor_(descriptor) {
  std::signal(SIGPIPE, SIG_IGN);
}

bounded_appender::~bounded_appender() {
  destructorImpl();
}

void bounded_appender::Flush() {
  std::size_t done = 0;
  while (done < kept_.size() && !is_broken_ && IsWritable(descriptor_)) {
    const std::size_t size = std::min(kChunkBytes, kept_.size() - done);
    const ssize_t written = ::write(descriptor_, kept_.data() + done, size);
    if (written < 0) {
      // Nobody reads any more: lines are counted as dropped from now on.
      is_broken_ = errno == EPIPE || errno == EBADF;
      break;
    }
    done += static_cast<std::size_t>(written);
  }
  kept_.erase(0, done);
}

void bounded_appender::close() {
  Flush();
  closed = true;
}

void bounded_appender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (dropped_ > 0) {
    const std::string told =
        "{\"event\":\"lines_dropped\",\"count\":" + std::to_string(dropped_) +
        "}\n";
    if (kept_.size() + told.size() <= kMostKeptBytes) {
      kept_ += told;
      dropped_ = 0;
    }
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  Keep(line.str());
}

void bounded_appender::Keep(const std::string& line) {
  if (is_broken_ || kept_.size() + line.size() > kMostKeptBytes) {
    ++dropped_;
    ++dropped_in_all_;
    return;
  }
  kept_ += line;
}

}  // namespace auburnfold
