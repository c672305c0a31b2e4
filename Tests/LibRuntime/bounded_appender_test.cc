#include "LibRuntime/Observability/bounded_appender.h"

#include <gtest/gtest.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "LibRuntime/Observability/json_layout.h"

namespace auburnfold {
namespace {

class a_log_into_a_pipe : public testing::Test {
 protected:
  a_log_into_a_pipe() {
    EXPECT_EQ(::pipe(ends_.data()), 0);
    appender_ = std::make_unique<bounded_appender>(ends_[1]);
    appender_->setLayout(std::make_unique<json_layout>());
  }
  ~a_log_into_a_pipe() override {
    appender_.reset();
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  void Write(int lines) {
    for (int i = 0; i < lines; ++i) {
      appender_->doAppend(log4cplus::spi::InternalLoggingEvent(
          "test", log4cplus::INFO_LOG_LEVEL, std::string(200, 'x'), __FILE__,
          __LINE__));
      appender_->Flush();
    }
  }

  // As much as the pipe holds now.
  std::string Read() {
    std::string text(std::size_t{1024} * 1024, '\0');
    const ssize_t size = ::read(ends_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

  std::array<int, 2> ends_{};
  std::unique_ptr<bounded_appender> appender_;
};

// The writes return although nobody reads: a blocked one would hang the test.
TEST_F(a_log_into_a_pipe, DropsLinesThatNobodyReadsInsteadOfWaiting) {
  Write(10000);
  EXPECT_GT(appender_->dropped_lines(), 5000U);
}

TEST_F(a_log_into_a_pipe, SaysHowManyWereDroppedOnceSomebodyReads) {
  Write(10000);
  std::string seen;
  for (int i = 0; i < 20; ++i) {
    seen += Read();
    Write(1);
  }
  EXPECT_NE(seen.find(R"("event":"lines_dropped","count":)"),
            std::string::npos);
}

TEST_F(a_log_into_a_pipe, GoesOnWithoutAReader) {
  ::close(ends_[0]);
  ends_[0] = ::dup(ends_[1]);
  Write(100);
  EXPECT_GT(appender_->dropped_lines(), 50U);
}

}  // namespace
}  // namespace auburnfold
