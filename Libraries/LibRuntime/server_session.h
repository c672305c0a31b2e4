#ifndef LIBRUNTIME_SERVER_SESSION_H_
#define LIBRUNTIME_SERVER_SESSION_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibDecision/error_kind.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

class server_session;

/// What a server does with what its sessions read.
struct session_handlers {
  /// A whole request; answer it with `server_session::Answer`.
  std::function<void(const std::shared_ptr<server_session>&, http_request)>
      on_request;
  /// Bytes that are no request, or too large a one. Answer it with
  /// `server_session::AnswerAndClose`.
  std::function<void(const std::shared_ptr<server_session>&, error_kind)>
      on_malformed;
};

/// One accepted connection. Serves its requests one after the other and
/// notices while one is being served that the other side has gone.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  using clock = std::chrono::steady_clock;

  server_session(tcp::socket socket, const session_handlers& handlers);

  void Start();

  /// Calls `on_disconnect` if the other side closes before the running request
  /// is answered.
  void WatchCaller(std::function<void()> on_disconnect);
  /// Answers the running request.
  void Answer(http_response response);
  /// The same, and closes the connection afterwards.
  void AnswerAndClose(http_response response);
  /// Closes the connection at once.
  void Close();

  /// Closes the connection if it has been without progress until `now`.
  void CloseIfStale(clock::time_point now);

  /// The IP number of the other side; empty if it has gone.
  std::string peer_host() const;
  bool is_open() const { return socket_.is_open(); }
  /// A request has been read and its answer is not yet written.
  bool is_busy() const { return is_busy_; }

 private:
  void Read();
  void OnRead(error_code error, std::size_t size);
  void Parse();
  void DispatchRequest();
  void RejectMalformed(error_code error);
  void SendContinueIfExpected();
  void Write();
  void OnWritten(error_code error);
  void PrepareNext();
  void OnDisconnected();

  tcp::socket socket_;
  const session_handlers& handlers_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http_response response_;
  std::optional<http::response_serializer<http::string_body>> serializer_;
  std::function<void()> on_disconnect_;
  clock::time_point deadline_;
  http::verb method_ = http::verb::unknown;
  bool is_busy_ = false;
  bool is_reading_ = false;
  bool is_continue_sent_ = false;
  bool keeps_alive_ = true;
  /// The last answer was written; what still arrives is discarded so that the
  /// answer is not lost to a reset.
  bool is_lingering_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_SERVER_SESSION_H_
