#ifndef STANDINS_STORE_PROCESS_H_
#define STANDINS_STORE_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <memory>
#include <unordered_map>

#include "StandIns/http_server.h"
#include "StandIns/key_value_model.h"
#include "StandIns/store_calls.h"
#include "StandIns/store_faults.h"
#include "auburnfold-load/http_address.h"

namespace auburnfold {

/// A stand-in for the platform's key-value service: connects
/// `key_value_model` to HTTP and timers.
class store_process {
 public:
  /// Throws boost::system::system_error if the port is taken.
  store_process(boost::asio::io_context& context, const http_address& address);

 private:
  struct waiting_watch {
    http_session::pointer session;
    std::string prefix;
    std::uint64_t after = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void OnRequest(const http_session::pointer& session,
                 const http_request& request);
  void OnTest(const http_session::pointer& session,
              const http_request& request);
  http_response ChangeFaults(const http_request& request);
  void OnCall(const http_session::pointer& session, store_call call);
  void Serve(const http_session::pointer& session, store_call call);
  void ServePut(const http_session::pointer& session, store_call call);
  void ServeWatch(const http_session::pointer& session, const store_call& call);
  void WakeWatches(const std::string& changed);
  void LapseLeases();
  void AnswerWatch(const http_session::pointer& session,
                   const boost::json::array& events);
  boost::json::array EventsAfter(const std::string& prefix,
                                 std::uint64_t after) const;

  boost::asio::io_context& context_;
  key_value_model model_;
  store_faults faults_;
  store_call_counts counts_;
  std::unordered_map<const http_session*, waiting_watch> watches_;
  boost::asio::steady_timer lease_timer_;
  boost::asio::signal_set signals_;
  http_server server_;
};

}  // namespace auburnfold

#endif  // STANDINS_STORE_PROCESS_H_
