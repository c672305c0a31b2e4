// Machines of one service beside the one that a case looks at, so that this one
// is no larger a share of the service than in the site file.
#ifndef REVIEW_STAND_INS_3_FLEET_HPP_
#define REVIEW_STAND_INS_3_FLEET_HPP_

#include "upstream.hpp"

namespace review {

class fleet {
 public:
  fleet(const std::vector<std::string>& hosts, const std::string& service, ports at,
        const std::string& store_address, const std::string& folder, record& out, double work_s = 0.05) {
    for (const std::string& host : hosts) {
      nodes_.push_back(std::make_unique<node>(host, service, at, store_address, folder));
      upstreams_.push_back(std::make_unique<upstream>(host, at, service, "i-0" + std::to_string(nodes_.size()) + "d9e6b4", out));
    }
    for (auto& one : upstreams_) one->work_s = work_s;
    hosts_ = hosts;
    at_ = at;
  }
  ~fleet() { Stop(); }
  bool Start() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!upstreams_[i]->Start()) return false;
      nodes_[i]->Start();
    }
    for (const std::string& host : hosts_) {
      if (!WaitReady(host, at_.readiness(), 10)) return false;
    }
    for (auto& one : upstreams_) {
      threads_.emplace_back([this, one = one.get()] {
        for (std::uint64_t seq = 1; !is_over_; ++seq) {
          one->Report(seq, "ready");
          for (int k = 0; k < 30 && !is_over_; ++k) Sleep(0.05);
        }
      });
    }
    return true;
  }
  void Stop() {
    is_over_ = true;
    for (auto& thread : threads_) thread.join();
    threads_.clear();
    for (auto& one : nodes_) one->Kill();
    for (auto& one : upstreams_) one->Stop();
  }

 private:
  std::vector<std::string> hosts_;
  ports at_{0};
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  std::vector<std::thread> threads_;
  std::atomic<bool> is_over_{false};
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_FLEET_HPP_
