#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include "LibRuntime/Connections/client_connection.h"
#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Connections/message_parser.h"
#include "LibRuntime/Connections/server_session.h"
#include "fuzz_targets.h"

// What a connection makes of a stream must not depend on how it is cut into
// segments. The reference parses the whole stream at once.

namespace auburnfold::fuzz {

namespace {

constexpr std::size_t kMaxCuts = 8;
/// Below every limit of headers and bodies.
constexpr std::size_t kMaxStreamBytes = std::size_t{8} * 1024;
constexpr unsigned kFirstFinalStatus = 200;

/// Method, target and body; or status, nothing and body.
using message = std::tuple<std::string, std::string, std::string>;

/// What became of a stream.
struct reading {
  std::vector<message> messages;
  bool is_rejected = false;
  /// The rejected header is incomplete. In pieces, its rejection may wait for
  /// the rest: the parser looks at no field again before the empty line.
  bool may_be_rejected_later = false;
};

struct cut_stream {
  std::string bytes;
  std::vector<std::size_t> cuts;
};

/// The first byte is the number of cuts, and each of the next says where one
/// is.
cut_stream ReadStream(input bytes) {
  cut_stream stream;
  if (bytes.empty()) {
    return stream;
  }
  const std::size_t count =
      std::min<std::size_t>(bytes[0] % (kMaxCuts + 1), bytes.size() - 1);
  const input places = bytes.subspan(1, count);
  const input rest = bytes.subspan(
      1 + count, std::min(bytes.size() - 1 - count, kMaxStreamBytes));
  stream.bytes.assign(rest.begin(), rest.end());
  for (const std::uint8_t place : places) {
    stream.cuts.push_back(place * stream.bytes.size() / 256);
  }
  std::sort(stream.cuts.begin(), stream.cuts.end());
  stream.cuts.push_back(stream.bytes.size());
  return stream;
}

/// A connection over loopback, both ends in this thread.
class connected_pair {
 public:
  connected_pair() {
    near_.connect(acceptor().local_endpoint());
    far_ = acceptor().accept();
  }

  static asio::io_context& io() {
    static asio::io_context context{1};
    return context;
  }
  static tcp::acceptor& acceptor() {
    static tcp::acceptor listening(
        io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return listening;
  }
  /// Runs what is due.
  static void Settle() {
    io().restart();
    while (io().poll() > 0) {
      io().restart();
    }
  }

  tcp::socket near_{io()};
  tcp::socket far_{io()};
};

/// Waits until the other end's system has received what was written, which a
/// busy one does later, or has reset the connection.
void WaitUntilReceived(tcp::socket& socket) {
  const int descriptor = socket.native_handle();
  int unacknowledged = 0;
  while (ioctl(descriptor, SIOCOUTQ, &unacknowledged) == 0 &&
         unacknowledged > 0) {
    pollfd state{descriptor, 0, 0};
    if (poll(&state, 1, 0) > 0) {
      return;
    }
    std::this_thread::yield();
  }
}

void WriteInPieces(tcp::socket& socket, const cut_stream& stream) {
  std::size_t at = 0;
  for (const std::size_t cut : stream.cuts) {
    error_code ignored;
    asio::write(socket, asio::buffer(stream.bytes.data() + at, cut - at),
                ignored);
    at = cut;
    WaitUntilReceived(socket);
    connected_pair::Settle();
  }
}

reading ReadRequestsAtOnce(std::string_view bytes) {
  reading result;
  while (!bytes.empty()) {
    request_parser parser;
    parser.eager(true);
    error_code error;
    const bool is_header_whole = bytes.find("\r\n\r\n") != bytes.npos;
    bytes.remove_prefix(parser.Parse(asio::buffer(bytes), error));
    const bool is_malformed = error && error != http::error::need_more;
    const bool is_odd_trace = !is_malformed && parser.is_done() &&
                              parser.get().method() == http::verb::trace &&
                              !parser.get().body().empty();
    if (is_malformed || is_odd_trace) {
      result.is_rejected = true;
      result.may_be_rejected_later = !is_header_whole;
      return result;
    }
    if (!parser.is_done()) {
      return result;
    }
    const bool is_last = !parser.keep_alive();
    const http_request request = parser.release();
    result.messages.emplace_back(request.method_string(), request.target(),
                                 request.body());
    if (is_last) {
      return result;
    }
  }
  return result;
}

reading ReadRequestsInPieces(const cut_stream& stream) {
  reading result;
  const session_limits limits{.max_pipelined = 4};
  const session_handlers handlers{
      .on_request =
          [&](const std::shared_ptr<server_exchange>& exchange,
              const http_request& request) {
            result.messages.emplace_back(request.method_string(),
                                         request.target(), request.body());
            exchange->Respond(
                MakeTextResponse(http::status::ok, "text/plain", "ok"));
          },
      .on_rejected =
          [&](const std::shared_ptr<server_exchange>& exchange, error_kind) {
            result.is_rejected = true;
            exchange->RespondAndClose(MakeTextResponse(
                http::status::bad_request, "text/plain", "no"));
          },
      .limits = &limits,
      .memory = std::make_shared<body_memory>(kMaxRequestMemoryBytes)};
  connected_pair pair;
  const auto session =
      std::make_shared<server_session>(std::move(pair.far_), handlers);
  session->Start();
  WriteInPieces(pair.near_, stream);
  session->Close();
  connected_pair::Settle();
  return result;
}

reading ReadResponseAtOnce(std::string_view bytes) {
  reading result;
  while (!bytes.empty()) {
    response_parser parser;
    parser.eager(true);
    error_code error;
    bytes.remove_prefix(parser.Parse(asio::buffer(bytes), error));
    if ((error && error != http::error::need_more) || !parser.is_done()) {
      break;
    }
    if (parser.get().result_int() >= kFirstFinalStatus) {
      const http_response response = parser.release();
      result.messages.emplace_back(std::to_string(response.result_int()), "",
                                   response.body());
      return result;
    }
  }
  result.is_rejected = true;
  return result;
}

reading ReadResponseInPieces(const cut_stream& stream) {
  reading result;
  body_memory memory(kMaxRequestMemoryBytes);
  const connection_handlers handlers{
      .on_idle = [](const std::shared_ptr<client_connection>&) {},
      .on_closed = [](const std::shared_ptr<client_connection>&, bool) {},
      .memory = &memory};
  client_request request;
  request.message.method(http::verb::get);
  request.message.target("/");
  request.message.version(kHttp11);
  request.on_finished = [&](const client_result& ended) {
    result.is_rejected = ended.error.has_value();
    if (!ended.error) {
      result.messages.emplace_back(std::to_string(ended.response.result_int()),
                                   "", ended.response.body());
    }
  };
  const auto connection = std::make_shared<client_connection>(
      connected_pair::io(), connection_id(1), handlers);
  connection->Connect(connected_pair::acceptor().local_endpoint(),
                      std::move(request));
  connected_pair::Settle();
  tcp::socket peer = connected_pair::acceptor().accept();
  while (peer.available() == 0) {
    connected_pair::Settle();
  }
  WriteInPieces(peer, stream);
  error_code ignored;
  peer.shutdown(tcp::socket::shutdown_send, ignored);
  connected_pair::Settle();
  connection->Close();
  connected_pair::Settle();
  return result;
}

void RequireEqual(const reading& whole, const reading& in_pieces) {
  const bool is_same_end =
      whole.is_rejected == in_pieces.is_rejected || whole.may_be_rejected_later;
  if (whole.messages != in_pieces.messages || !is_same_end) {
    std::abort();
  }
}

}  // namespace

void Requests(input bytes) {
  const cut_stream stream = ReadStream(bytes);
  RequireEqual(ReadRequestsAtOnce(stream.bytes), ReadRequestsInPieces(stream));
}

void Responses(input bytes) {
  const cut_stream stream = ReadStream(bytes);
  RequireEqual(ReadResponseAtOnce(stream.bytes), ReadResponseInPieces(stream));
}

}  // namespace auburnfold::fuzz
