#ifndef STANDINS_ENDPOINT_PROCESS_H_
#define STANDINS_ENDPOINT_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "StandIns/deeper_calls.h"
#include "StandIns/endpoint_announcer.h"
#include "StandIns/endpoint_model.h"
#include "StandIns/endpoint_settings.h"
#include "StandIns/http_server.h"
#include "auburnfold-load/http_pool.h"

namespace auburnfold {

/// A stand-in endpoint on a socket: connects `endpoint_model` to HTTP, timers
/// and signals.
class endpoint_process {
 public:
  /// Throws boost::system::system_error if the port is taken.
  endpoint_process(boost::asio::io_context& context,
                   const endpoint_settings& settings);

  /// Requests that the stop cut off; 0 after a graceful stop.
  std::size_t cut_count() const { return cut_count_; }

 private:
  struct active_run {
    http_session::pointer session;
    http_request request;
    std::chrono::steady_clock::time_point deadline;
    boost::asio::steady_timer timer;
    std::shared_ptr<deeper_run> deeper;
    bool has_started = false;
  };
  using run_map = std::unordered_map<run_number, active_run>;

  void OnRequest(const http_session::pointer& session, http_request request);
  void OnTest(const http_session::pointer& session,
              const http_request& request);
  http_response ChangeFaults(const http_session& asking,
                             const http_request& request);
  void OnClosed(http_session& session);
  void StartDue();
  void Crash(run_number run);
  void OnWorked(run_number run);
  void OnDeeperEnd(run_number run, const deeper_end& end);
  void Finish(run_number run, http_response answer);
  void Expire(run_number run);
  void WaitUntil(run_number run,
                 std::chrono::steady_clock::time_point when,
                 void (endpoint_process::*then)(run_number));
  void Leave();
  void Stop();
  void StopIfIdle();

  boost::asio::io_context& context_;
  endpoint_settings settings_;
  endpoint_model model_;
  std::optional<http_pool> node_;
  std::optional<endpoint_announcer> announcer_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stop_timer_;
  run_map runs_;
  std::unordered_map<const http_session*, run_number> run_of_session_;
  run_number next_run_ = 1;
  std::uint64_t foreign_below_ = 0;
  std::uint64_t partial_below_ = 0;
  std::uint64_t broken_below_ = 0;
  /// Failed deeper calls by the name of their error; empty if no answer came.
  std::map<std::string, std::uint64_t> failures_below_;
  bool is_stopping_ = false;
  std::size_t cut_count_ = 0;
  http_server server_;
};

}  // namespace auburnfold

#endif  // STANDINS_ENDPOINT_PROCESS_H_
