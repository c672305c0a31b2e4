// A stand-in for an upstream: runs requests, answers its health check and
// reports to the node beside it.
#ifndef REVIEW_STAND_INS_3_UPSTREAM_HPP_
#define REVIEW_STAND_INS_3_UPSTREAM_HPP_

#include "parts.hpp"

namespace review {

struct run_entry {
  double at = 0;
  std::string id, method, target, caller, tenant;
};

class upstream {
 public:
  upstream(std::string host, ports at, std::string service, std::string id, record& out)
      : host_(std::move(host)), at_(at), service_(std::move(service)), id_(std::move(id)),
        record_(out),
        server_(host_, at.app(), [this](connection& to, const message& request) { return Serve(to, request); }) {}

  bool Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }

  // Reports to the node beside it; returns whether it was acknowledged in time.
  bool Report(std::uint64_t seq, const std::string& state) {
    const json::object body{{"service", service_}, {"address", host_ + ":" + std::to_string(at_.app())},
                            {"zone", "zone-a"}, {"version", "v1"}, {"slots", slots},
                            {"state", state}, {"coldS_time", 0}, {"seq", seq}, {"born", born}};
    return Tell("PUT", json::serialize(body), "seq " + std::to_string(seq) + " " + state);
  }
  bool Leave(std::uint64_t seq) {
    return Tell("DELETE", json::serialize(json::object{{"seq", seq}, {"born", born}}), "leaves");
  }

  std::vector<run_entry> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

  std::uint64_t born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch()).count());
  int slots = 32;
  double work_s = 0.02;
  std::atomic<bool> is_leaving{false};
  // Called while a request runs, in place of the wait; returns the status.
  std::function<int(const message&)> work;

 private:
  bool Tell(const std::string& method, const std::string& body, const std::string& what) {
    const double sent = Now();
    auto to = connection::To(host_, at_.control(), 1);
    bool is_acknowledged = false;
    if (to && to->Write(Format(method + " /instances/" + id_ + " HTTP/1.1",
                               {{"Host", host_}, {"Content-Type", "application/json"}}, body))) {
      const auto answer = to->Read(std::max(0.01, sent + 1 - Now()), true);
      is_acknowledged = answer && answer->status() / 100 == 2;
    }
    record_.Write("upstream " + id_ + " reports " + what +
                  (is_acknowledged ? ", acknowledged" : ", not acknowledged"));
    return is_acknowledged;
  }

  bool Serve(connection& to, const message& request) {
    const std::string request_id = request.Get("X-Request-Id");
    if (request.target() == "/health") {
      return to.Write(Format(is_leaving ? "HTTP/1.1 503 X" : "HTTP/1.1 200 OK", {{"X-Instance-Id", id_}}, ""));
    }
    const std::string expected = request.Get("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      return to.Write(Format("HTTP/1.1 421 X", {{"X-Instance-Id", id_}, {"X-Request-Id", request_id}}, ""));
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({Now(), request_id, request.method(), request.target(),
                       request.Get("X-Caller-Service"), request.Get("X-Tenant")});
    }
    record_.Write("upstream " + id_ + " runs " + request_id + " " + request.method() + " " + request.target());
    int status = 200;
    if (work) {
      status = work(request);
    } else {
      Sleep(work_s);
    }
    return to.Write(Format("HTTP/1.1 " + std::to_string(status) + " X",
                           {{"X-Request-Id", request_id}, {"X-Response-Signature", "s." + id_ + "." + request_id}},
                           "answer to " + request_id + "\n"));
  }

  std::string host_;
  ports at_;
  std::string service_, id_;
  record& record_;
  std::mutex mutex_;
  std::vector<run_entry> runs_;
  server server_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_UPSTREAM_HPP_
