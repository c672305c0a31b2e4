// Stand-ins and helpers for the cases: a small HTTP layer over blocking
// sockets, the platform's key-value store, upstreams that report to the node
// beside them, and the node processes themselves. Everything listens on
// loopback addresses; a case has one address for each machine.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

inline void Pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

inline const clock_type::time_point kStart = clock_type::now();
inline double Seconds() {
  return std::chrono::duration<double>(clock_type::now() - kStart).count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// What was sent, answered and run, with the seconds since the case began.
class record_file {
 public:
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", Seconds());
    out_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline record_file record;

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in AddressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& host, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = AddressOf(host, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool WaitFor(int fd, short events, int timeout_ms) {
  pollfd waiting{fd, events, 0};
  return poll(&waiting, 1, timeout_ms) > 0;
}

inline int Connect(const std::string& host, int port, int timeout_ms = 1000) {
  const int fd =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(host, port);
  int result =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno == EINPROGRESS && WaitFor(fd, POLLOUT, timeout_ms)) {
    socklen_t size = sizeof result;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &result, &size);
  }
  if (result != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// ------------------------------------------------------------------- HTTP

struct message {
  std::string start;  // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) {
        return value;
      }
    }
    return {};
  }
  bool has(const std::string& name) const {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& each) {
      return Lower(each.first) == Lower(name);
    });
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const auto first = start.find(' ');
    return start.substr(first + 1, start.rfind(' ') - first - 1);
  }
  int status() const {
    return start.size() > 12 ? std::atoi(start.substr(9, 3).c_str()) : 0;
  }
};

// Reads messages off one connection.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  // Nothing if the connection ended, or the time is over, before a whole
  // message was there.
  std::optional<message> Read(int timeout_ms, bool is_response = false) {
    const auto until = clock_type::now() + milliseconds(timeout_ms);
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!More(until)) {
        return std::nullopt;
      }
    }
    message read;
    std::istringstream head(buffer_.substr(0, end));
    std::string line;
    std::getline(head, line);
    read.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      line = line.substr(0, line.find('\r'));
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      const auto value = line.find_first_not_of(" \t", colon + 1);
      read.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    buffer_.erase(0, end + 4);
    if (Lower(read.header("Transfer-Encoding")) == "chunked") {
      if (!ReadChunks(read.body, until)) {
        return std::nullopt;
      }
    } else if (read.has("Content-Length")) {
      const auto size =
          static_cast<std::size_t>(std::atoll(read.header("Content-Length").c_str()));
      while (buffer_.size() < size) {
        if (!More(until)) {
          return std::nullopt;
        }
      }
      read.body = buffer_.substr(0, size);
      buffer_.erase(0, size);
    } else if (is_response && read.status() != 204 && read.status() != 304) {
      while (More(until)) {
      }
      read.body = std::exchange(buffer_, {});
    }
    return read;
  }

 private:
  bool More(clock_type::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        until - clock_type::now());
    if (left.count() <= 0 ||
        !WaitFor(fd_, POLLIN, static_cast<int>(left.count()))) {
      return false;
    }
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool ReadChunks(std::string& body, clock_type::time_point until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!More(until)) {
          return false;
        }
      }
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        if (!More(until)) {
          return false;
        }
      }
      body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int fd_;
  std::string buffer_;
};

inline std::string Format(const message& out) {
  std::string text = out.start + "\r\n";
  for (const auto& [name, value] : out.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(out.body.size()) + "\r\n\r\n";
  return text + out.body;
}

// One call on a connection of its own.
inline std::optional<message> Call(const std::string& host,
                                   int port,
                                   const message& request,
                                   int timeout_ms) {
  const int fd = Connect(host, port);
  if (fd < 0) {
    return std::nullopt;
  }
  std::optional<message> response;
  if (SendAll(fd, Format(request))) {
    response = reader(fd).Read(timeout_ms, true);
  }
  close(fd);
  return response;
}

// Accepts connections and answers one request after the other on each.
class server {
 public:
  // Returns the bytes of the answer; an empty text closes the connection.
  using handler = std::function<std::string(int fd, const message& request)>;

  bool Start(const std::string& host, int port, handler handle) {
    listener_ = Listen(host, port);
    if (listener_ < 0) {
      return false;
    }
    accepting_ = std::thread([this, handle = std::move(handle)] {
      while (!is_stopping_) {
        if (!WaitFor(listener_, POLLIN, 50)) {
          continue;
        }
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([this, fd, handle] { Serve(fd, handle); }).detach();
        }
      }
      close(listener_);
    });
    return true;
  }
  void Stop() {
    is_stopping_ = true;
    if (accepting_.joinable()) {
      accepting_.join();
    }
  }
  ~server() { Stop(); }

 private:
  void Serve(int fd, const handler& handle) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    reader requests(fd);
    while (!is_stopping_) {
      const auto request = requests.Read(60'000);
      if (!request) {
        break;
      }
      const std::string answer = handle(fd, *request);
      if (answer.empty() || !SendAll(fd, answer)) {
        break;
      }
    }
    close(fd);
  }

  int listener_ = -1;
  std::atomic<bool> is_stopping_{false};
  std::thread accepting_;
};

inline std::string Respond(const std::string& status,
                           const std::string& body,
                           std::vector<std::pair<std::string, std::string>>
                               headers = {}) {
  return Format({"HTTP/1.1 " + status, std::move(headers), body});
}

// -------------------------------------------------------- the platform's store

inline std::string ToBase64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string UrlDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// Values are kept in base64, as they travel.
class store {
 public:
  bool Start(const std::string& host, int port) {
    return server_.Start(host, port, [this](int, const message& request) {
      return Handle(request);
    });
  }
  void Stop() {
    is_stopping_ = true;
    changed_.notify_all();
    server_.Stop();
  }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(key, ToBase64(value), 0);
    changed_.notify_all();
  }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    double ttl_s = 0;
    clock_type::time_point ends;
  };

  static json ToJson(const std::string& key, const item& each) {
    return {{"key", key},
            {"value", each.value},
            {"revision", each.revision},
            {"created", each.created},
            {"lease", each.lease}};
  }

  void Write(const std::string& key, std::string value, std::uint64_t lease) {
    item& each = items_[key];
    each.revision = ++revision_;
    each.created = each.created == 0 ? revision_ : each.created;
    each.value = std::move(value);
    each.lease = lease;
    history_.emplace_back(revision_, ToJson(key, each));
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      history_.emplace_back(
          revision_,
          json{{"key", key}, {"revision", revision_}, {"deleted", true}});
    }
  }
  void EndLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, each] : items_) {
      if (each.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    changed_.notify_all();
  }
  void ExpireLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, each] : leases_) {
      if (each.ends <= clock_type::now()) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      EndLease(id);
    }
  }

  std::string Handle(const message& request) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    if (target.find('?') != std::string::npos) {
      std::istringstream parts(target.substr(target.find('?') + 1));
      std::string part;
      while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = UrlDecode(part.substr(equals + 1));
      }
    }
    const json body = request.body.empty()
                          ? json::object()
                          : json::parse(request.body, nullptr, false);
    std::unique_lock<std::mutex> lock(mutex_);
    ExpireLeases();
    if (path == "/kv-key") {
      const auto found = items_.find(query["key"]);
      if (found == items_.end()) {
        return Answer("404 Not Found", {});
      }
      json answer = ToJson(found->first, found->second);
      answer["asOf"] = revision_;
      return Answer("200 OK", answer);
    }
    if (path == "/kv-range") {
      json items = json::array();
      for (const auto& [key, each] : items_) {
        if (key.starts_with(query["prefix"]) && key > query["after"]) {
          items.push_back(ToJson(key, each));
        }
      }
      return Answer("200 OK",
                    {{"items", items}, {"hasMore", false}, {"asOf", revision_}});
    }
    if (path == "/kv-watch") {
      return Watch(lock, query["prefix"], std::stoull(query["after"]),
                   std::stoi(query["waitMs"]));
    }
    if (path == "/kv-txn") {
      return Transact(body);
    }
    if (path == "/kv-lease") {
      const double ttl_s = std::max(1.0, body.value("ttlS", 1.0));
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {ttl_s, EndOf(ttl_s)};
      return Answer("200 OK", {{"lease", id}, {"ttlS", ttl_s}});
    }
    const std::uint64_t id =
        std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (!leases_.contains(id)) {
      return Answer("404 Not Found", {});
    }
    if (path.starts_with("/kv-keep/")) {
      leases_[id].ends = EndOf(leases_[id].ttl_s);
      return Answer("200 OK", {{"ttlS", leases_[id].ttl_s}});
    }
    EndLease(id);
    return Answer("200 OK", json::object());
  }

  static clock_type::time_point EndOf(double ttl_s) {
    return clock_type::now() +
           milliseconds(static_cast<std::int64_t>(ttl_s * 1000));
  }

  std::string Transact(const json& body) {
    json current = json::array();
    bool holds = true;
    for (const json& row : body.value("expect", json::array())) {
      const std::string key = row["key"];
      const auto found = items_.find(key);
      const std::uint64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row["revision"].get<std::uint64_t>();
      if (found != items_.end()) {
        current.push_back(ToJson(key, found->second));
      }
    }
    if (!holds) {
      return Answer("412 Precondition Failed", {{"items", current}});
    }
    for (const json& row : body.value("writes", json::array())) {
      const std::uint64_t lease = row.value("lease", std::uint64_t{0});
      if (lease != 0 && !leases_.contains(lease)) {
        return Answer("404 Not Found", {});
      }
    }
    for (const json& row : body.value("writes", json::array())) {
      Write(row["key"], row["value"], row.value("lease", std::uint64_t{0}));
    }
    for (const json& key : body.value("remove", json::array())) {
      Remove(key);
    }
    changed_.notify_all();
    return Answer("200 OK", {{"revision", revision_}});
  }

  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& prefix,
                    std::uint64_t after,
                    int wait_ms) {
    const auto until = clock_type::now() + milliseconds(wait_ms);
    for (;;) {
      ExpireLeases();
      json events = json::array();
      for (const auto& [revision, event] : history_) {
        if (revision > after &&
            event["key"].get<std::string>().starts_with(prefix)) {
          events.push_back(event);
        }
      }
      if (!events.empty() || clock_type::now() >= until || is_stopping_) {
        return Answer("200 OK", {{"events", events}, {"asOf", revision_}});
      }
      changed_.wait_for(lock, milliseconds(200));
    }
  }

  static std::string Answer(const std::string& status, const json& body) {
    return Respond(status, body.is_null() ? "" : body.dump(),
                   {{"Content-Type", "application/json"}});
  }

  server server_;
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<std::pair<std::uint64_t, json>> history_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_ = 100;
};

// --------------------------------------------------------------- machines

// The ports are the same on all machines.
struct ports {
  int inbound = 0;
  int outbound = 0;
  int readiness = 0;
  int control = 0;
  int app = 0;
  int first_own = 0;
  int store = 0;
};

inline ports ChoosePorts(const std::vector<std::string>& hosts) {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 200; ++tries) {
    const int base = 12'000 + static_cast<int>(random() % 1'800) * 10;
    bool is_free = true;
    for (const std::string& host : hosts) {
      for (int i = 0; i < 7 && is_free; ++i) {
        const int fd = Listen(host, base + i);
        is_free = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (is_free) {
      return {base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6};
    }
  }
  std::cerr << "no free ports\n";
  std::exit(kCannotRun);
}

// A request as an upstream sees it.
struct arrival {
  std::string id;
  std::string method;
  std::string path;
  std::string body;
  double at_s = 0;
};

// What an upstream does with a request.
struct work {
  int ms = 20;
  std::size_t body_bytes = 200;
};

// A sound upstream beside a node. It runs each request for `work_ms` and
// answers with a body of its own, and reports to its node as it is told.
class upstream {
 public:
  using chooser = std::function<work(const message&)>;

  upstream(std::string host, const ports& at, std::string service, std::string id)
      : host_(std::move(host)),
        ports_(at),
        service_(std::move(service)),
        id_(std::move(id)),
        born_(UnixMs()) {}
  ~upstream() { Stop(); }

  bool Start(chooser choose) {
    choose_ = std::move(choose);
    if (!server_.Start(host_, ports_.app, [this](int fd, const message& request) {
          return Handle(fd, request);
        })) {
      return false;
    }
    beating_ = std::thread([this] {
      while (!is_stopping_) {
        if (beats_) {
          Beat("ready");
        }
        for (int i = 0; i < 15 && !is_stopping_; ++i) {
          Pause(100);
        }
      }
    });
    return true;
  }
  void Stop() {
    is_stopping_ = true;
    if (beating_.joinable()) {
      beating_.join();
    }
    server_.Stop();
  }

  json Heartbeat(const std::string& state) {
    return {{"service", service_},
            {"address", host_ + ":" + std::to_string(ports_.app)},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", 64},
            {"state", state},
            {"coldS_time", 0},
            {"seq", ++sequence_},
            {"born", born_}};
  }
  // Returns the status of the node's answer; 0 if there was none in a second.
  int Send(const json& heartbeat) {
    const auto answer = Call(host_, ports_.control,
                             {"PUT /instances/" + id_ + " HTTP/1.1",
                              {{"Host", host_}, {"Content-Type", "application/json"}},
                              heartbeat.dump()},
                             1000);
    return answer ? answer->status() : 0;
  }
  int Beat(const std::string& state) { return Send(Heartbeat(state)); }
  int Delete() {
    beats_ = false;
    is_leaving_ = true;
    const auto answer = Call(
        host_, ports_.control,
        {"DELETE /instances/" + id_ + " HTTP/1.1",
         {{"Host", host_}, {"Content-Type", "application/json"}},
         json{{"seq", ++sequence_}, {"born", born_}}.dump()},
        1000);
    return answer ? answer->status() : 0;
  }
  void StopBeats() { beats_ = false; }

  std::vector<arrival> Arrivals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }

 private:
  std::string Handle(int fd, const message& request) {
    const std::string id = request.header("X-Request-Id");
    if (request.target() == "/health" && id.empty()) {
      return Respond(is_leaving_ ? "503 Service Unavailable" : "200 OK", "",
                     {{"X-Instance-Id", id_}});
    }
    if (id.empty()) {
      return Respond("400 Bad Request", "", {{"X-Not-Executed", "1"}});
    }
    const std::string expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      return Respond("421 Misdirected Request", "", {{"X-Instance-Id", id_}});
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back({id, request.method(), request.target(),
                           request.body, Seconds()});
    }
    record.Line("run " + id + " at " + id_ + ": " + request.method() + " " +
                request.target() + ", body of " +
                std::to_string(request.body.size()) + " bytes");
    const work chosen = choose_(request);
    // Drops a request whose connection closes.
    const auto until = clock_type::now() + milliseconds(chosen.ms);
    while (clock_type::now() < until) {
      pollfd peer{fd, POLLRDHUP, 0};
      if (poll(&peer, 1, 5) > 0 && (peer.revents & (POLLRDHUP | POLLHUP)) != 0) {
        record.Line("dropped " + id + " at " + id_ + ": its connection closed");
        return {};
      }
    }
    record.Line("done " + id + " at " + id_);
    return Respond("200 OK", std::string(chosen.body_bytes, 'a'),
                   {{"X-Request-Id", id}, {"X-Response-Signature", "s-" + id}});
  }

  const std::string host_;
  const ports ports_;
  const std::string service_;
  const std::string id_;
  const std::int64_t born_;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> beats_{true};
  std::atomic<bool> is_leaving_{false};
  chooser choose_;
  server server_;
  std::thread beating_;
  std::mutex mutex_;
  std::vector<arrival> arrivals_;
};

inline std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// A node, started with the command of the deploy file and a rendered copy of
// its template.
class node {
 public:
  node(std::string host, const ports& at, std::string service, std::string folder)
      : host_(std::move(host)),
        ports_(at),
        service_(std::move(service)),
        folder_(std::move(folder)) {}
  ~node() { End(SIGKILL); }

  bool Start() {
    const std::string settings = folder_ + "/node-" + host_ + ".json";
    std::ofstream(settings, std::ios::trunc) << Render();
    const std::string log = folder_ + "/node-" + host_ + ".log";
    const std::string run = RunCommand();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("AUBURNFOLD_NODE_FILE", settings.c_str(), 1);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(run.c_str(), run.c_str(), nullptr);
      _exit(127);
    }
    record.Line("node " + host_ + " started");
    return pid_ > 0;
  }
  // Ends the process, and waits for it. With SIGTERM it is killed after 6 s.
  void End(int signal_number) {
    if (pid_ <= 0) {
      return;
    }
    kill(pid_, signal_number);
    for (int i = 0; i < 600 && !HasEnded(); ++i) {
      Pause(10);
    }
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
      pid_ = -1;
    }
  }
  // Whether the process has ended; then `Describe` says how.
  bool HasEnded() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ <= 0;
  }
  std::string Describe() const {
    return WIFSIGNALED(status_)
               ? "signal " + std::to_string(WTERMSIG(status_))
               : "exit code " + std::to_string(WEXITSTATUS(status_));
  }
  bool IsReady() const {
    const auto answer = Call(host_, ports_.readiness,
                             {"GET /ready HTTP/1.1", {{"Host", host_}}, ""}, 500);
    return answer && answer->status() == 200;
  }
  bool WaitUntilReady(int tries = 150) const {
    for (int i = 0; i < tries; ++i) {
      if (IsReady()) {
        return true;
      }
      Pause(100);
    }
    return false;
  }
  const std::string& host() const { return host_; }
  pid_t pid() const { return pid_; }

 private:
  static std::string RunCommand() {
    const std::string deploy = ReadFile("deploy/system.toml");
    const std::string key = "run = \"";
    const auto begin = deploy.find(key) + key.size();
    return deploy.substr(begin, deploy.find('"', begin) - begin);
  }

  std::string Render() const {
    const auto at = [this](int port) { return host_ + ":" + std::to_string(port); };
    const std::map<std::string, std::string> values{
        {"ip", host_},
        {"zone", "zone-a"},
        {"service", service_},
        {"listen.outbound", at(ports_.outbound)},
        {"listen.inbound", at(ports_.inbound)},
        {"listen.readiness", at(ports_.readiness)},
        {"listen.control", at(ports_.control)},
        {"portRange.0", std::to_string(ports_.first_own)},
        {"appAddr", at(ports_.app)},
        {"platform.address", "127.0.0.1:" + std::to_string(ports_.store)},
        {"bounds.graceS", "6"},
    };
    std::string text = ReadFile("deploy/node.json");
    // Sections of bounds that are not set.
    for (;;) {
      const auto begin = text.find("{{#");
      if (begin == std::string::npos) {
        break;
      }
      const std::string name =
          text.substr(begin + 3, text.find("}}", begin) - begin - 3);
      const std::string last = "{{/" + name + "}}";
      text.erase(begin, text.find(last) + last.size() - begin);
    }
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (auto found = text.find(placeholder); found != std::string::npos;
           found = text.find(placeholder)) {
        text.replace(found, placeholder.size(), value);
      }
    }
    return text;
  }

  const std::string host_;
  const ports ports_;
  const std::string service_;
  const std::string folder_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// ---------------------------------------------------------- configuration

inline json Route(const std::string& name,
                  const std::string& prefix,
                  const std::string& kind,
                  const std::string& service,
                  double timeout_s) {
  return {{"resourceType", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", "calls.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeoutS", timeout_s},
            {"targetLatencyS", 1.5},
            {"priority", 0},
            {"service", service},
            {"maxAttempts", 2}}}};
}

inline json Service(const std::string& name) {
  return {{"resourceType", "services"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"healthPath", "/health"},
            {"maxConnections", 500},
            {"protocol", "h1"},
            {"tls", false}}}};
}

inline std::string Config(int version,
                          json resources,
                          int max_header_bytes) {
  resources.push_back({{"resourceType", "limits"},
                       {"metadata", json::object()},
                       {"spec",
                        {{"maxHeaderBytes", max_header_bytes},
                         {"maxBodyBytes", 67108864},
                         {"headerTimeoutS", 3},
                         {"idleTimeoutS", 15}}}});
  return json{{"version", "r" + std::to_string(version)},
              {"resources", std::move(resources)}}
      .dump();
}

// A client's request, without a body.
inline message Request(const std::string& method,
                       const std::string& path,
                       const std::string& id,
                       int deadline_ms) {
  return {method + " " + path + " HTTP/1.1",
          {{"Host", "calls.example"},
           {"X-Request-Id", id},
           {"X-Deadline-Ms", std::to_string(deadline_ms)}},
          ""};
}

inline bool HasTrouble() {
  const char* const set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

// Machines that run one service each, the store, and a configuration with two
// routes for each service: /NAME-read/ and the non-idempotent /NAME-write/.
struct deployment {
  struct options {
    std::string read_kind = "idempotent";
    double timeout_s = 6;
    int max_header_bytes = 16384;
  };

  deployment(const std::vector<std::string>& services,
             std::string work_folder,
             const options& chosen)
      : folder(std::move(work_folder)) {
    for (std::size_t i = 0; i < services.size(); ++i) {
      hosts.push_back("127.0.0." + std::to_string(11 + i));
    }
    std::vector<std::string> all = hosts;
    all.push_back("127.0.0.1");
    at = ChoosePorts(all);
    json resources = json::array();
    std::set<std::string> known;
    for (std::size_t i = 0; i < services.size(); ++i) {
      const std::string& name = services[i];
      nodes.push_back(std::make_unique<node>(hosts[i], at, name, folder));
      upstreams.push_back(std::make_unique<upstream>(
          hosts[i], at, name, "i-" + std::to_string(i + 1)));
      if (known.insert(name).second) {
        resources.push_back(Route(name + "-read", "/" + name + "-read/",
                                  chosen.read_kind, name, chosen.timeout_s));
        resources.push_back(Route(name + "-write", "/" + name + "-write/",
                                  "non_idempotent", name, chosen.timeout_s));
        resources.push_back(Service(name));
      }
    }
    config = Config(1, resources, chosen.max_header_bytes);
  }

  bool Start(const upstream::chooser& choose) {
    if (!platform.Start("127.0.0.1", at.store)) {
      return false;
    }
    platform.Put("op/config", config);
    for (auto& each : nodes) {
      each->Start();
    }
    for (auto& each : upstreams) {
      if (!each->Start(choose)) {
        return false;
      }
    }
    for (auto& each : nodes) {
      if (!each->WaitUntilReady()) {
        return false;
      }
    }
    // Traffic starts seconds after the machines.
    Pause(5000);
    return true;
  }
  void Stop() {
    for (auto& each : nodes) {
      each->End(SIGTERM);
    }
    for (auto& each : upstreams) {
      each->Stop();
    }
    platform.Stop();
  }

  std::string folder;
  std::vector<std::string> hosts;
  ports at;
  std::string config;
  store platform;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<upstream>> upstreams;
};

// Ends the nodes, and the process without waiting for the stand-ins' threads.
[[noreturn]] inline void Finish(deployment& all,
                                int code,
                                const std::string& verdict) {
  for (auto& each : all.nodes) {
    each->End(SIGKILL);
  }
  record.Line("verdict: " + verdict);
  std::cout << verdict << std::endl;
  std::_Exit(code);
}

// Calls until each path is answered with a success, through each node.
inline bool Serves(const deployment& all, const std::vector<std::string>& paths) {
  static int next = 0;
  for (const std::string& host : all.hosts) {
    for (const std::string& path : paths) {
      bool is_served = false;
      for (int i = 0; i < 50 && !is_served; ++i) {
        const auto answer =
            Call(host, all.at.outbound,
                 Request("GET", path, "warm" + std::to_string(++next), 3000),
                 3000);
        is_served = answer && answer->status() == 200 &&
                    answer->has("X-Response-Signature");
        if (!is_served) {
          Pause(100);
        }
      }
      if (!is_served) {
        return false;
      }
    }
  }
  return true;
}

// Runs `run` with the temporary folder that the script made.
inline int Main(int argc,
                char** argv,
                const std::function<void(const std::string&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::cerr << "usage: case RECORD_FILE TEMPORARY_FOLDER\n";
    return kCannotRun;
  }
  record.Open(argv[1]);
  run(argv[2]);
  return kCannotRun;
}

}  // namespace review
