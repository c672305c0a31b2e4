#include "scripted_server.h"

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

bool scripted_connection::Write(std::string_view bytes) {
  error_code error;
  asio::write(parts_->socket, asio::buffer(bytes), error);
  return !error;
}

void scripted_connection::Close() {
  error_code ignored;
  parts_->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

std::uint64_t scripted_connection::number() const {
  return parts_->number;
}

struct scripted_server::parts {
  explicit parts(script to_run)
      : run(std::move(to_run)),
        acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
    accepting = std::thread([this] { io.run(); });
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

scripted_server::scripted_server(script run)
    : parts_(std::make_unique<parts>(std::move(run))) {}

scripted_server::~scripted_server() {
  parts_->io.stop();
  parts_->accepting.join();
  // As when a process ends: nothing is accepted once connections close.
  error_code ignored_close;
  parts_->acceptor.close(ignored_close);
  for (const auto& connection : parts_->connections) {
    error_code ignored;
    connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
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
