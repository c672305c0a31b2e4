#ifndef AUBURNFOLD_LOAD_LOAD_CALL_H_
#define AUBURNFOLD_LOAD_LOAD_CALL_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "auburnfold-load/http_pool.h"
#include "auburnfold-load/load_plan.h"
#include "auburnfold-load/send_verdict.h"

namespace auburnfold {

/// What all calls of a run share.
struct load_call_context {
  boost::asio::io_context& io;
  const load_plan& plan;
  std::mt19937_64 random;
};

/// One call of a client: its key, its send and its resends.
class load_call : public std::enable_shared_from_this<load_call> {
 public:
  using clock = std::chrono::steady_clock;
  using pools = std::vector<std::unique_ptr<http_pool>>;
  using on_end = std::function<void(call_outcome, std::uint32_t sends)>;

  /// `intended` is when the schedule wanted it sent; the deadline counts from
  /// then. `servers` are alternatives for each send.
  load_call(load_call_context& context,
            const load_class& called,
            pools& servers,
            std::string request_id,
            clock::time_point intended);

  /// `done` is called once.
  void Start(on_end done);

 private:
  http_pool& ChooseServer();
  std::chrono::milliseconds Left() const;
  http_request MakeRequest(std::chrono::milliseconds left) const;
  void AskForKey();
  void OnKey(const exchange_result& result);
  void Send();
  void OnAnswer(const exchange_result& result);
  void SendLaterOrEnd(const send_verdict& verdict);
  void End(call_outcome outcome);

  load_call_context& context_;
  const load_class& class_;
  pools& servers_;
  std::string request_id_;
  std::string tenant_;
  std::string key_;
  std::string body_;
  clock::time_point deadline_;
  boost::asio::steady_timer timer_;
  std::uint32_t sends_ = 0;
  bool may_have_run_ = false;
  on_end done_;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_LOAD_CALL_H_
