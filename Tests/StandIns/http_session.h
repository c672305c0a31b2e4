#ifndef STANDINS_HTTP_SESSION_H_
#define STANDINS_HTTP_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "auburnfold-load/http_types.h"

namespace auburnfold {

/// A server connection that handles one request at a time.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  using pointer = std::shared_ptr<http_session>;
  struct handlers {
    std::function<void(const pointer&, http_request)> on_request;
    /// The connection ended, perhaps before its request was answered.
    std::function<void(http_session&)> on_closed;
  };

  /// `is_over_limit` says that the server already has all the connections
  /// that it may have. `handled` must outlive the session.
  http_session(boost::asio::ip::tcp::socket socket,
               const handlers& handled,
               bool is_over_limit);

  void Start() { Read(); }
  void Answer(http_response response);
  /// Sends the first half of the answer and closes the connection.
  void AnswerTruncated(http_response response);
  void Drop();
  /// Neither reads nor answers any more, and leaves the connection open.
  void Silence() { is_silent_ = true; }
  /// Closes the connection as soon as it has no unanswered request.
  void CloseWhenIdle();

  bool is_over_limit() const { return is_over_limit_; }
  bool is_silent() const { return is_silent_; }

 private:
  using error_code = boost::system::error_code;

  void Read();
  void OnRead(error_code error);
  void Write();
  void WatchForClose();
  void OnReadable();

  boost::asio::ip::tcp::socket socket_;
  const handlers& handled_;
  bool is_over_limit_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  http_response response_;
  std::string cut_answer_;
  bool is_busy_ = false;
  bool is_closed_ = false;
  bool is_closing_ = false;
  bool is_silent_ = false;
  bool is_watched_ = false;
  bool keep_alive_ = true;
};

}  // namespace auburnfold

#endif  // STANDINS_HTTP_SESSION_H_
