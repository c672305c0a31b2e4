#include "scripted_server.h"

#include <netinet/tcp.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include "LibRuntime/Connections/http_types.h"

namespace auburnfold::testing_support {

struct scripted_connection::parts {
  asio::io_context io;
  tcp::socket socket{io};
  beast::flat_buffer buffer;
  std::uint64_t number = 0;
  /// Held where the socket is closed or shut down, since the server does so
  /// from another thread than the script.
  std::mutex ending;

  void ShutDown(tcp::socket::shutdown_type what) {
    const std::lock_guard lock(ending);
    error_code ignored;
    socket.shutdown(what, ignored);
  }
};

scripted_connection::scripted_connection(std::shared_ptr<parts> connection)
    : parts_(std::move(connection)) {}

std::optional<std::string> scripted_connection::ReadRequest() {
  http_request request;
  error_code error;
  http::read(parts_->socket, parts_->buffer, request, error);
  if (error) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << request;
  return text.str();
}

std::optional<std::string> scripted_connection::ReadHeader() {
  std::string text;
  error_code error;
  while (!text.ends_with("\r\n\r\n") && !error) {
    char next = 0;
    asio::read(parts_->socket, asio::buffer(&next, 1), error);
    text += next;
  }
  return error ? std::nullopt : std::optional(std::move(text));
}

void scripted_connection::WaitForBytes() {
  error_code ignored;
  parts_->socket.wait(tcp::socket::wait_read, ignored);
}

bool scripted_connection::Write(std::string_view bytes) {
  error_code error;
  asio::write(parts_->socket, asio::buffer(bytes), error);
  return !error;
}

void scripted_connection::Close() {
  parts_->ShutDown(tcp::socket::shutdown_both);
}

void scripted_connection::EndWrites() {
  parts_->ShutDown(tcp::socket::shutdown_send);
}

void scripted_connection::Reset() {
  const std::lock_guard lock(parts_->ending);
  error_code ignored;
  parts_->socket.set_option(tcp::socket::linger(true, 0), ignored);
  parts_->socket.close(ignored);
}

std::uint64_t scripted_connection::number() const {
  return parts_->number;
}

struct scripted_server::parts {
  parts(script to_run, receive_window window)
      : run(std::move(to_run)),
        acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    if (window == receive_window::kSmall) {
      UseSmallWindow();
    }
    Accept();
    accepting = std::thread([this] { io.run(); });
  }

  // Accepted connections inherit both. Small segments keep the other side's
  // send buffer small.
  void UseSmallWindow() {
    constexpr int kReceiveBytes = 4096;
    constexpr int kSegmentBytes = 536;
    acceptor.set_option(tcp::acceptor::receive_buffer_size(kReceiveBytes));
    setsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
               &kSegmentBytes, sizeof(kSegmentBytes));
  }

  void Accept() {
    auto connection = std::make_shared<scripted_connection::parts>();
    acceptor.async_accept(connection->socket,
                          [this, connection](error_code error) {
                            if (error) {
                              return;
                            }
                            connection->number = connections.size();
                            connections.push_back(connection);
                            threads.emplace_back([this, connection] {
                              scripted_connection view(connection);
                              run(view);
                              view.Close();
                            });
                            Accept();
                          });
  }

  script run;
  asio::io_context io;
  tcp::acceptor acceptor;
  std::thread accepting;
  std::vector<std::shared_ptr<scripted_connection::parts>> connections;
  std::vector<std::thread> threads;
};

scripted_server::scripted_server(script run, receive_window window)
    : parts_(std::make_unique<parts>(std::move(run), window)) {}

scripted_server::~scripted_server() {
  parts_->io.stop();
  parts_->accepting.join();
  // As when a process ends: nothing is accepted once connections close.
  error_code ignored_close;
  parts_->acceptor.close(ignored_close);
  for (const auto& connection : parts_->connections) {
    connection->ShutDown(tcp::socket::shutdown_both);
  }
  for (std::thread& thread : parts_->threads) {
    thread.join();
  }
}

std::uint16_t scripted_server::port() const {
  return parts_->acceptor.local_endpoint().port();
}

std::string AnswerText(std::string_view body, std::string_view headers) {
  std::string text = "HTTP/1.1 200 OK\r\n";
  text += headers;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

scripted_server::script AnswersWith(std::string body) {
  return [body = std::move(body)](scripted_connection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(AnswerText(body));
    }
  };
}

}  // namespace auburnfold::testing_support
