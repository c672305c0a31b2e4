#ifndef LIBRUNTIME_REQUESTS_WORK_HANDLER_H_
#define LIBRUNTIME_REQUESTS_WORK_HANDLER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibDecision/effect.h"
#include "LibRuntime/Connections/connection_pool.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/server_exchange.h"
#include "LibRuntime/Observability/node_metrics.h"
#include "LibRuntime/Requests/headers.h"
#include "LibRuntime/Requests/wire_dialect.h"
#include "LibRuntime/event_sink.h"
#include "LibRuntime/lazy_timer.h"
#include "LibRuntime/node_identity.h"

namespace auburnfold {

/// Reads requests that other nodes forward, sends them to the local endpoint,
/// and returns its responses.
class work_handler {
 public:
  using clock = std::chrono::steady_clock;

  work_handler(asio::io_context& io,
               const node_identity& self,
               const any_wire_dialect& dialect,
               connection_pool::id_source next_connection,
               event_sink sink,
               node_metrics& metrics);

  /// Handles a forwarded request that was read from `exchange`.
  void OnWork(const std::shared_ptr<server_exchange>& exchange,
              http_request request);
  /// Sets the address at which the local endpoint listens.
  void SetEndpointAddress(const tcp::endpoint& address);

  /// Sends a health probe to the local endpoint at `path`.
  void ProbeEndpoint(const std::string& path);

  void Execute(const execute_work& command);
  void Execute(const cancel_work& cancelled);
  void Execute(const relay_work_answer& relayed);
  void Execute(const refuse_work& refused);
  void Execute(const answer_with_key& issued);
  void Execute(const cache_answer& cached);
  void Execute(const replay_answer& replayed);
  void Execute(const evict_answer& evicted);

  /// Called when the reducer has handled the end of `work` at the endpoint.
  void OnFinishHandled(work_id work);
  /// Closes the connection; false if it does not lead to the endpoint.
  bool Close(connection_id connection);
  /// From now on, each response closes its connection.
  void OnStopRequested() { is_stopping_ = true; }
  /// Closes idle connections. Call it about once a second.
  void Sweep();

  /// Ends work whose answer could not be sent: closes its connection, so that
  /// its sender takes the outcome as unknown.
  void Fail(work_id work);
  /// The metadata of open work; null if there is no such work.
  const request_metadata* MetadataOf(work_id work) const;
  std::size_t open_count() const { return open_work_.size(); }
  std::size_t cached_response_count() const { return cached_responses_.size(); }

 private:
  struct open_work {
    /// Unset once the forwarding node has disconnected.
    std::shared_ptr<server_exchange> exchange;
    http_request request;
    request_metadata metadata;
    http_response response;
    std::weak_ptr<client_connection> connection;
    clock::time_point arrived;
    clock::time_point deadline = clock::time_point::max();
    bool is_executing = false;
  };

  void Accept(const std::shared_ptr<server_exchange>& exchange,
              http_request request,
              forwarded_metadata read);
  void OnForwarderDisconnected(work_id work);
  void OnExecutionFinished(work_id work, client_result result);
  /// Reports the outcome of `work` once it is known whether the endpoint still
  /// accepts connections.
  void ReportAfterTest(work_id work, const outcome& ended);
  void OnEndpointTested(bool is_refused);
  void SendResponse(work_id work,
                    http_response response,
                    const answer_metadata& metadata);
  void TimeOutWork();

  asio::io_context& io_;
  const node_identity& self_;
  const any_wire_dialect& dialect_;
  connection_pool::id_source next_connection_;
  event_sink sink_;
  node_metrics& metrics_;
  lazy_timer deadline_timer_;
  asio::steady_timer settle_timer_;
  std::uint64_t next_work_ = 1;
  std::unordered_map<work_id, open_work> open_work_;
  std::unordered_map<idempotency_key, http_response> cached_responses_;
  tcp::endpoint endpoint_;
  body_memory memory_{kMaxResponseMemoryBytes};
  std::unique_ptr<connection_pool> pool_;
  std::weak_ptr<client_connection> probe_;
  clock::time_point probe_deadline_{};
  /// Outcomes that wait for a test of the endpoint.
  std::vector<work_finished> untested_;
  /// Pools for the endpoint's former addresses, kept until they are empty.
  std::vector<std::unique_ptr<connection_pool>> former_pools_;
  bool is_stopping_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_WORK_HANDLER_H_
