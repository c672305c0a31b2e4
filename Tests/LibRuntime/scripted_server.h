#ifndef TESTS_LIBRUNTIME_SCRIPTED_SERVER_H_
#define TESTS_LIBRUNTIME_SCRIPTED_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "receive_window.h"

namespace auburnfold::testing_support {

/// One connection that a scripted server accepted.
class scripted_connection {
 public:
  struct parts;
  explicit scripted_connection(std::shared_ptr<parts> connection);

  /// The next request's headers and body as text; nothing once the other side
  /// has closed.
  std::optional<std::string> ReadRequest();
  /// The next request's start line and headers, of any length; nothing once
  /// the other side has closed.
  std::optional<std::string> ReadHeader();
  /// Waits until bytes of a request have arrived, and leaves them unread.
  void WaitForBytes();
  /// Returns whether all bytes were written.
  bool Write(std::string_view bytes);
  /// Closes the connection in both directions.
  void Close();
  /// Closes the direction to the other side, in order.
  void EndWrites();
  /// Closes the connection with a reset.
  void Reset();
  /// Counts accepted connections from 0.
  std::uint64_t number() const;

 private:
  std::shared_ptr<parts> parts_;
};

/// A server that runs a script on each connection, in a thread of its own,
/// and closes the connection when the script ends.
class scripted_server {
 public:
  using script = std::function<void(scripted_connection&)>;

  explicit scripted_server(script run,
                           receive_window window = receive_window::kDefault);
  ~scripted_server();

  std::uint16_t port() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

/// A whole HTTP answer with `body`; `headers` are lines ended by CRLF.
std::string AnswerText(std::string_view body, std::string_view headers = {});

/// Answers every request with `AnswerText(body)`.
scripted_server::script AnswersWith(std::string body);

}  // namespace auburnfold::testing_support

#endif  // TESTS_LIBRUNTIME_SCRIPTED_SERVER_H_
