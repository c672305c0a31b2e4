#include "fake_node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <thread>
#include <utility>

namespace auburnfold::testing_support {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct fake_node::parts {
  explicit parts(std::vector<std::string> to_give)
      : answers(std::move(to_give)),
        acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
    thread = std::thread([this] { io.run(); });
  }

  // One connection at a time: the client has only one to each node.
  void Accept() {
    acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket accepted) {
          if (!error) {
            ++connection_count;
            buffer.clear();
            socket = std::move(accepted);
            Read();
          }
        });
  }

  void Read() {
    request = {};
    http::async_read(socket, buffer, request,
                     [this](const boost::system::error_code& error,
                            std::size_t) { error ? Accept() : Answer(); });
  }

  void Answer() {
    std::ostringstream text;
    text << request;
    requests.push_back(text.str());
    const std::string answer =
        next < answers.size() ? answers[next++] : std::string();
    if (answer.empty()) {
      socket.close();
      return Accept();
    }
    asio::write(socket, asio::buffer(answer));
    if (answer.find("Connection: close") != std::string::npos) {
      socket.close();
      return Accept();
    }
    Read();
  }

  std::vector<std::string> answers;
  asio::io_context io{1};
  tcp::acceptor acceptor;
  tcp::socket socket{io};
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::vector<std::string> requests;
  std::size_t next = 0;
  int connection_count = 0;
  std::thread thread;
};

fake_node::fake_node(std::vector<std::string> answers)
    : parts_(std::make_unique<parts>(std::move(answers))) {}

fake_node::~fake_node() {
  parts_->io.stop();
  parts_->thread.join();
}

std::uint16_t fake_node::port() const {
  return parts_->acceptor.local_endpoint().port();
}

const std::vector<std::string>& fake_node::requests() const {
  return parts_->requests;
}

int fake_node::connections() const {
  return parts_->connection_count;
}

std::string NodeAnswer(unsigned status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace auburnfold::testing_support
