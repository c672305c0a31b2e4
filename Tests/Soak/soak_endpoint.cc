#include "soak_endpoint.h"

#include <boost/asio/write.hpp>
#include <cstdlib>
#include <utility>

namespace auburnfold::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{1500};
constexpr milliseconds kReportTimeout{1000};
/// How long it serves on after the acknowledgement of its leave.
constexpr milliseconds kServesOn{9000};
constexpr milliseconds kRestartDelay{300};
constexpr std::size_t kLargeAnswerBytes = 900'000;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string AnswerText(const std::string& status,
                       const std::string& fields,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sizes stand in the target, "/service-kind/id/extra/body", so that a request
/// whose content was changed is recognized.
bool IsContentWhole(const plain_request& request, const std::string& id) {
  const std::string& target = request.target;
  const std::size_t body_at = target.rfind('/') + 1;
  const std::size_t extra_at = target.rfind('/', body_at - 2) + 1;
  const std::size_t body = std::strtoull(target.c_str() + body_at, nullptr, 10);
  const std::size_t extra =
      std::strtoull(target.c_str() + extra_at, nullptr, 10);
  return request.body == TextOf(id + "-body", body) &&
         request.Field("x-extra") == TextOf(id + "-extra", extra);
}

}  // namespace

struct soak_endpoint::connection {
  explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  std::string buffer;
  std::thread thread;
};

soak_endpoint::soak_endpoint(std::size_t index,
                             std::string service,
                             const node_ports& ports,
                             std::uint64_t seed,
                             traffic_record& record)
    : index_(index),
      service_(std::move(service)),
      ports_(ports),
      record_(record),
      random_(seed) {
  Start();
  reporting_ = std::thread([this] { ReportReady(); });
}

soak_endpoint::~soak_endpoint() {
  is_stopping_ = true;
  reporting_.join();
  Exit();
}

std::string soak_endpoint::id() const {
  return "i-" + std::to_string(index_) + '-' + std::to_string(run_);
}

void soak_endpoint::Start() {
  ++run_;
  sequence_ = 0;
  born_ms_ = UnixMilliseconds();
  record_.OnEndpointStarted(index_);
  acceptor_ = std::make_unique<tcp::acceptor>(io_, Local(ports_.endpoint));
  is_up_ = true;
  is_reporting_ = true;
  accepting_ = std::thread([this] { Accept(); });
}

// What is at work ends with the process that it stands for.
void soak_endpoint::Exit() {
  is_up_ = false;
  is_reporting_ = false;
  accepting_.join();
  acceptor_.reset();
  std::vector<std::shared_ptr<connection>> closed;
  {
    const std::lock_guard lock(connections_mutex_);
    closed.swap(connections_);
  }
  for (const std::shared_ptr<connection>& each : closed) {
    boost::system::error_code ignored;
    each->socket.shutdown(tcp::socket::shutdown_both, ignored);
    each->thread.join();
  }
}

void soak_endpoint::Accept() {
  acceptor_->non_blocking(true);
  while (is_up_) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    acceptor_->accept(socket, error);
    if (error) {
      std::this_thread::sleep_for(milliseconds(2));
      continue;
    }
    socket.non_blocking(false);
    socket.set_option(tcp::no_delay(true), error);
    auto served = std::make_shared<connection>(std::move(socket));
    served->thread = std::thread([this, served] { Serve(served); });
    const std::lock_guard lock(connections_mutex_);
    connections_.push_back(std::move(served));
  }
}

void soak_endpoint::Serve(const std::shared_ptr<connection>& served) {
  while (is_up_) {
    const auto request = ReadRequest(served->socket, served->buffer);
    if (!request || !Handle(*served, *request)) {
      break;
    }
  }
  boost::system::error_code ignored;
  served->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

bool soak_endpoint::Handle(connection& served, const plain_request& request) {
  boost::system::error_code error;
  const std::string request_id = request.Field("x-request-id");
  const auto answer = [&](const std::string& text) {
    asio::write(served.socket, asio::buffer(text), error);
    return !error;
  };
  if (request_id.empty()) {
    return answer(AnswerText("200 OK", "X-Instance-Id: " + id() + "\r\n", {}));
  }
  const std::string expected = request.Field("x-expect-instance");
  if (!expected.empty() && expected != id()) {
    return answer(AnswerText("421 Misdirected Request",
                             "X-Instance-Id: " + id() + "\r\n", {}));
  }
  const std::size_t run =
      record_.OnRun(index_, request_id, request.method, request.target,
                    IsContentWhole(request, request_id));
  std::uint64_t chance = 0;
  {
    const std::lock_guard lock(random_mutex_);
    chance = random_();
  }
  const bool is_slow = chance % 40 == 0;
  const bool breaks_off = chance % 331 == 1;
  const bool is_large = chance % 23 == 2;
  const auto until = soak_clock::now() +
                     milliseconds(is_slow ? 800 + chance % 1200 : chance % 15);
  while (soak_clock::now() < until) {
    if (!is_up_) {
      record_.OnBrokenOff(run);
      return false;
    }
    if (HasPeerClosed(served.socket)) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  const std::size_t size = is_large ? kLargeAnswerBytes : chance % 3000;
  std::string text = AnswerText("200 OK",
                                "X-Request-Id: " + request_id +
                                    "\r\nX-Response-Signature: " + request_id +
                                    ':' + std::to_string(size) + "\r\n",
                                TextOf(request_id + "-answer", size));
  if (breaks_off) {
    record_.OnBrokenOff(run);
    text.resize(text.size() / 2);
    answer(text);
    return false;
  }
  return answer(text);
}

std::string soak_endpoint::Report(const std::string& method) {
  const std::string body =
      R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" +
      std::to_string(ports_.endpoint) +
      R"(","zone":"zone-a","version":"v1","slots":64,"state":"ready",)" +
      R"("coldS_time":0,"seq":)" + std::to_string(++sequence_) + R"(,"born":)" +
      std::to_string(born_ms_) + '}';
  return RequestText(method, "/instances/" + id(),
                     "Host: 127.0.0.1\r\nContent-Type: application/json\r\n",
                     body);
}

unsigned soak_endpoint::Send(const std::string& report) {
  return Call(ports_.report, report, kReportTimeout);
}

void soak_endpoint::ReportReady() {
  moment next = soak_clock::now();
  while (!is_stopping_) {
    if (is_reporting_ && soak_clock::now() >= next) {
      Send(Report("PUT"));
      next = soak_clock::now() + kReportInterval;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void soak_endpoint::Leave(milliseconds late_report,
                          const std::function<void()>& on_acknowledged) {
  if (is_leaving_.exchange(true)) {
    return;
  }
  is_reporting_ = false;
  // A report that is on its way ends first.
  std::this_thread::sleep_for(kReportTimeout);
  const std::string last = Report("PUT");
  moment acknowledged;
  bool is_acknowledged = false;
  for (int tries = 0; tries < 10 && !is_acknowledged; ++tries) {
    is_acknowledged = Send(Report("DELETE")) == 200;
    acknowledged = soak_clock::now();
  }
  if (is_acknowledged) {
    record_.OnLeaveAcknowledged(index_, acknowledged);
    on_acknowledged();
    if (late_report > milliseconds::zero()) {
      std::this_thread::sleep_until(acknowledged + late_report);
      Send(last);
    }
    std::this_thread::sleep_until(acknowledged + kServesOn);
  }
  Exit();
  std::this_thread::sleep_for(kRestartDelay);
  Start();
  is_leaving_ = false;
}

}  // namespace auburnfold::soak
