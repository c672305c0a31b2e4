#ifndef TESTS_LIBRUNTIME_RAW_CLIENT_H_
#define TESTS_LIBRUNTIME_RAW_CLIENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "receive_window.h"

namespace auburnfold::testing_support {

/// An answer as read from the wire.
struct read_answer {
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  /// Empty if the header is absent.
  std::string Header(const std::string& name) const;
};

/// A blocking connection that sends whatever bytes a test wants.
class raw_client {
 public:
  explicit raw_client(std::uint16_t port,
                      receive_window window = receive_window::kDefault);
  ~raw_client();

  void Write(std::string_view bytes);
  /// Waits until the other side's system has received what was written. Returns
  /// false if the connection is reset.
  bool WaitUntilReceived();
  /// Waits until bytes of an answer have arrived, and leaves them unread.
  void WaitForBytes();
  /// Nothing if the connection closed before a whole answer.
  std::optional<read_answer> Read(bool is_head = false);
  /// Waits until the other side closes.
  bool ReadsEnd();
  void Close();
  /// Waits until the other side's system has received all bytes and the close.
  void CloseAndWaitUntilReceived();

  /// Sends `bytes` over a connection of its own and reads one answer.
  static read_answer Exchange(std::uint16_t port, std::string_view bytes);

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

/// A call to `service` with the headers that every call needs, then `extra`
/// header lines, each ended by CRLF.
std::string CallText(std::string_view service,
                     std::string_view extra = {},
                     std::string_view body = {});

}  // namespace auburnfold::testing_support

#endif  // TESTS_LIBRUNTIME_RAW_CLIENT_H_
