#ifndef LIBRUNTIME_OBSERVABILITY_BOUNDED_APPENDER_H_
#define LIBRUNTIME_OBSERVABILITY_BOUNDED_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace auburnfold {

/// Writes log lines to a file descriptor without ever blocking on a slow
/// reader. Lines are buffered up to a limit in bytes. Lines beyond it are
/// dropped; a notice with their number precedes the next line that fits.
class bounded_appender : public log4cplus::Appender {
 public:
  /// Ignores SIGPIPE in the whole process.
  explicit bounded_appender(int descriptor);
  ~bounded_appender() override;

  /// Writes as many buffered bytes as possible without blocking. To be called
  /// regularly.
  void Flush();
  void close() override;

  std::uint64_t dropped_lines() const { return total_dropped_lines_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Buffer(const std::string& line);

  int descriptor_;
  std::string buffer_;
  std::uint64_t unreported_dropped_lines_ = 0;
  std::uint64_t total_dropped_lines_ = 0;
  bool is_broken_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_OBSERVABILITY_BOUNDED_APPENDER_H_
