#ifndef TESTS_SOAK_SOAK_CLIENT_H_
#define TESTS_SOAK_SOAK_CLIENT_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "blocking_http.h"
#include "traffic_record.h"

namespace auburnfold::soak {

/// What a client sends.
struct client_habits {
  /// Requests go to one of these services.
  std::vector<std::string> services;
  std::size_t max_pipelined = 32;
  std::size_t max_extra_bytes = 100'000;
  std::size_t max_body_bytes = 2'000'000;
  /// Sends one small batch each second, so that endpoints have little traffic.
  bool is_quiet = false;
};

/// A client with one connection at a time, which it keeps until the node closes
/// it. Sends requests behind each other, cut into segments at random, and reads
/// the answers, at times slowly.
class soak_client {
 public:
  soak_client(std::string name,
              client_habits habits,
              std::vector<std::uint16_t> call_ports,
              std::uint64_t seed,
              traffic_record& record);

  /// Sends until `is_over`, then waits for the answers for a while.
  void Run(const std::atomic<bool>& is_over);

 private:
  struct segment {
    std::string bytes;
    moment due;
  };

  std::uint64_t Random(std::uint64_t bound) { return random_() % bound; }
  bool IsOneIn(std::uint64_t count) { return Random(count) == 0; }
  /// Mostly small, at times up to `largest`.
  std::size_t ChooseSize(std::size_t largest);

  bool Connect();
  /// Serves the connection until it ends.
  void Converse(const std::atomic<bool>& is_over);
  void SendBatch();
  std::string MakeRequest();
  void Cut(const std::string& text);
  /// Writes what is due. Its errors are left to `ReadSome`, since answers that
  /// came before may still be read.
  void WriteDue();
  /// Returns whether the connection is still open and what was read is HTTP.
  bool ReadSome();
  bool ParseAnswers();
  void OnAnswer(const http_response& answer);
  void EndAll(request_end end);

  std::string name_;
  client_habits habits_;
  std::vector<std::uint16_t> call_ports_;
  std::mt19937_64 random_;
  traffic_record& record_;
  asio::io_context io_;
  std::optional<tcp::socket> socket_;
  std::size_t node_ = 0;
  std::uint64_t next_ = 0;
  /// Requests that wait for their answers, in their order.
  std::deque<std::string> waiting_;
  std::deque<segment> segments_;
  moment next_batch_at_;
  moment next_read_at_;
  /// When the client gives up what it waits for.
  moment leaves_at_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

}  // namespace auburnfold::soak

#endif  // TESTS_SOAK_SOAK_CLIENT_H_
