// Stand-ins for the platform, its upstreams and its clients, and the means to
// run the project's node beside them. Everything listens on loopback addresses.
#ifndef REVIEW_STAND_INS_3_PARTS_HPP_
#define REVIEW_STAND_INS_3_PARTS_HPP_

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
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point kStart = clock_type::now();
inline double Now() {
  return std::chrono::duration<double>(clock_type::now() - kStart).count();
}
inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void SleepUntil(double when) { Sleep(std::max(0.0, when - Now())); }

// What was sent, answered and run, one line each.
class record {
 public:
  explicit record(const std::string& file) : out_(file) {}
  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f ", Now());
    out_ << at << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct message {
  std::string start;  // first line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& f) {
      return strcasecmp(f.first.c_str(), name.c_str()) == 0;
    });
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const auto from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int status() const {
    return start.size() > 9 ? std::atoi(start.c_str() + 9) : 0;
  }
};

inline sockaddr_in Address(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// A blocking connection with a time limit for each call.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  static std::unique_ptr<connection> To(const std::string& host, int port,
                                        double timeout = 1) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = Address(host, port);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (result != 0 && errno == EINPROGRESS) {
      pollfd ready{fd, POLLOUT, 0};
      int error = 1;
      socklen_t size = sizeof(error);
      if (poll(&ready, 1, static_cast<int>(timeout * 1000)) == 1) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      }
      result = error;
    }
    if (result != 0) {
      ::close(fd);
      return nullptr;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<connection>(fd);
  }

  bool Write(const std::string& text, double timeout = 5) {
    const double until = Now() + timeout;
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t n = send(fd_, text.data() + done, text.size() - done,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        done += static_cast<std::size_t>(n);
      } else if (errno == EAGAIN && Now() < until) {
        pollfd ready{fd_, POLLOUT, 0};
        poll(&ready, 1, 20);
      } else {
        return false;
      }
    }
    return true;
  }

  // Reads more into the buffer; false at the end, an error or the time limit.
  bool More(double until) {
    while (Now() < until) {
      pollfd ready{fd_, POLLIN, 0};
      const int left = std::max(1, static_cast<int>((until - Now()) * 1000));
      if (poll(&ready, 1, std::min(left, 50)) <= 0) {
        if (stop_ && stop_->load()) return false;
        continue;
      }
      char bytes[16384];
      const ssize_t n = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (n > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      is_ended_ = true;
      is_reset_ = n < 0;
      return false;
    }
    return false;
  }

  std::optional<message> Read(double timeout, bool is_response = false,
                              bool has_body = true) {
    const double until = Now() + timeout;
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!More(until)) return std::nullopt;
    }
    message read;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (read.start.empty()) {
        read.start = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      read.fields.emplace_back(line.substr(0, colon), value);
    }
    if (is_response && read.status() < 200) return Read(until - Now(), true, has_body);
    if (!has_body) return read;
    if (strcasecmp(read.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::size_t eol;
        while ((eol = buffer_.find("\r\n")) == std::string::npos) {
          if (!More(until)) return std::nullopt;
        }
        const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        buffer_.erase(0, eol + 2);
        while (buffer_.size() < size + 2) {
          if (!More(until)) return std::nullopt;
        }
        read.body += buffer_.substr(0, size);
        buffer_.erase(0, size + 2);
        if (size == 0) return read;
      }
    }
    const std::size_t size = std::strtoul(read.Get("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!More(until)) return std::nullopt;
    }
    read.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return read;
  }

  bool ReadBody(std::size_t size, double timeout, std::string& body) {
    const double until = Now() + timeout;
    while (buffer_.size() < size) {
      if (!More(until)) return false;
    }
    body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  bool HasPeerClosed() const {
    pollfd state{fd_, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0;
  }
  void Reset() {
    const linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool is_ended() const { return is_ended_; }
  bool is_reset() const { return is_reset_; }
  void StopWith(const std::atomic<bool>* stop) { stop_ = stop; }

 private:
  int fd_;
  std::string buffer_;
  bool is_ended_ = false;
  bool is_reset_ = false;
  const std::atomic<bool>* stop_ = nullptr;
};

inline std::string Format(const std::string& start,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body, bool has_length = true) {
  std::string text = start + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (has_length) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Serves each connection in a thread of its own. The handler returns false to
// close the connection.
class server {
 public:
  using handler = std::function<bool(connection&, const message&)>;
  server(std::string host, int port, handler on_request)
      : host_(std::move(host)), port_(port), on_request_(std::move(on_request)) {}
  ~server() { Stop(); }

  bool Start() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receive_bytes > 0) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    const sockaddr_in at = Address(host_, port_);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd_, 512) != 0) {
      ::close(fd_);
      fd_ = -1;
      return false;
    }
    is_stopped_ = false;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }
  // Ends as a process does: connections and the listening socket close.
  void Stop() {
    is_stopped_ = true;
    if (acceptor_.joinable()) acceptor_.join();
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    for (;;) {
      std::thread one;
      {
        const std::lock_guard lock(mutex_);
        if (threads_.empty()) return;
        one = std::move(threads_.back());
        threads_.pop_back();
      }
      one.join();
    }
  }

  // The receive buffer of each connection, 0: the system's default.
  int receive_bytes = 0;
  // Otherwise the handler reads the body itself.
  bool reads_bodies = true;

 private:
  void Accept() {
    while (!is_stopped_) {
      pollfd ready{fd_, POLLIN, 0};
      if (poll(&ready, 1, 20) <= 0) continue;
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mutex_);
      threads_.emplace_back([this, fd] {
        connection open(fd);
        open.StopWith(&is_stopped_);
        while (!is_stopped_) {
          const auto request = open.Read(3600, false, reads_bodies);
          if (!request || is_stopped_ || !on_request_(open, *request)) return;
        }
      });
    }
  }

  std::string host_;
  int port_;
  handler on_request_;
  int fd_ = -1;
  std::atomic<bool> is_stopped_{true};
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

inline std::string Base64(const std::string& bytes) {
  static const char* letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : letters[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

inline std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// The platform's metadata store, as PROTOCOL.md tells it. Values stay in base64.
class store {
 public:
  store(std::string host, int port)
      : server_(std::move(host), port, [this](connection& to, const message& request) {
          return Serve(to, request);
        }) {}
  bool Start() { return server_.Start(); }
  void Stop() {
    is_ending_ = true;
    changed_.notify_all();
    server_.Stop();
    fronts_.clear();
  }
  // A way of its own to the store for one machine: while the flag is set, its
  // calls are answered 503 and its watches are cut.
  std::atomic<bool>* AddFront(const std::string& host, int port) {
    auto added = std::make_unique<front>();
    front* one = added.get();
    one->listener = std::make_unique<server>(host, port, [this, one](connection& to, const message& request) {
      return Serve(to, request, &one->is_down);
    });
    if (!one->listener->Start()) return nullptr;
    fronts_.push_back(std::move(added));
    return &one->is_down;
  }
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write(key, Base64(value), 0);
  }
  std::vector<std::string> Keys() {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> keys;
    for (const auto& [key, value] : items_) keys.push_back(key);
    return keys;
  }
  // The leases run out, as they may while the store is down.
  void Lapse() {
    const std::lock_guard lock(mutex_);
    while (!leases_.empty()) EndLease(leases_.begin()->first);
  }
  // While it is set, calls are answered 503: nothing was done.
  std::atomic<bool> is_down{false};

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0, created = 0, lease = 0;
  };
  struct front {
    std::atomic<bool> is_down{false};
    std::unique_ptr<server> listener;
  };
  struct lease {
    double ttl = 0, ends = 0;
  };

  void Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    ++revision_;
    item& written = items_[key];
    if (written.created == 0) written.created = revision_;
    written.value = value;
    written.revision = revision_;
    written.lease = lease;
    history_.push_back({revision_, Describe(key, written)});
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.push_back({revision_, json::object{{"key", key}, {"revision", revision_}, {"deleted", true}}});
    changed_.notify_all();
  }
  void EndLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> ended;
    for (const auto& [key, value] : items_) {
      if (value.lease == id) ended.push_back(key);
    }
    for (const auto& key : ended) Remove(key);
  }
  void Expire() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, value] : leases_) {
      if (value.ends < Now()) ended.push_back(id);
    }
    for (const auto id : ended) EndLease(id);
  }
  static json::object Describe(const std::string& key, const item& value) {
    return {{"key", key}, {"value", value.value}, {"revision", value.revision},
            {"created", value.created}, {"lease", value.lease}};
  }
  static std::string Parameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return PercentDecode(target.substr(from, target.find('&', from) - from));
  }
  bool Answer(connection& to, int status, const json::object& body) {
    return to.Write(Format("HTTP/1.1 " + std::to_string(status) + " X",
                           {{"Content-Type", "application/json"}}, json::serialize(body)));
  }

  bool Serve(connection& to, const message& request, const std::atomic<bool>* is_front_down = nullptr) {
    const auto is_away = [&] { return is_down || (is_front_down != nullptr && *is_front_down); };
    if (is_away()) return to.Write(Format("HTTP/1.1 503 X", {}, ""));
    Sleep(0.004);
    std::unique_lock lock(mutex_);
    Expire();
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const json::object body =
        request.body.empty() ? json::object() : json::parse(request.body).as_object();
    if (path == "/kv-key") {
      const auto found = items_.find(Parameter(target, "key"));
      if (found == items_.end()) return Answer(to, 404, {});
      json::object one = Describe(found->first, found->second);
      one["asOf"] = revision_;
      return Answer(to, 200, one);
    }
    if (path == "/kv-range") {
      const std::string prefix = Parameter(target, "prefix"), after = Parameter(target, "after");
      json::array items;
      bool has_more = false;
      for (auto each = items_.lower_bound(prefix); each != items_.end(); ++each) {
        if (!each->first.starts_with(prefix)) break;
        if (!after.empty() && each->first <= after) continue;
        if (items.size() == 500) {
          has_more = true;
          break;
        }
        items.push_back(Describe(each->first, each->second));
      }
      return Answer(to, 200, {{"items", items}, {"hasMore", has_more}, {"asOf", revision_}});
    }
    if (path == "/kv-watch") {
      const std::string prefix = Parameter(target, "prefix");
      const std::uint64_t after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
      const double until = Now() + std::atof(Parameter(target, "waitMs").c_str()) / 1000;
      json::array events;
      for (;;) {
        Expire();
        for (const auto& [revision, event] : history_) {
          if (revision > after && event.at("key").as_string().starts_with(prefix)) events.push_back(event);
        }
        if (!events.empty() || Now() >= until || is_away() || is_ending_) break;
        changed_.wait_for(lock, std::chrono::milliseconds(50));
      }
      if (is_away()) return false;
      return Answer(to, 200, {{"events", events}, {"asOf", revision_}});
    }
    if (path == "/kv-txn") {
      const std::uint64_t none = 0;
      json::array current;
      bool holds = true;
      for (const auto& row : body.at("expect").as_array()) {
        const std::string key(row.at("key").as_string());
        const auto found = items_.find(key);
        const std::uint64_t revision = found == items_.end() ? none : found->second.revision;
        holds = holds && revision == row.at("revision").to_number<std::uint64_t>();
        current.push_back(found == items_.end() ? json::object{{"key", key}, {"revision", none}}
                                                : Describe(key, found->second));
      }
      if (!holds) return Answer(to, 412, {{"items", current}});
      for (const auto& row : body.at("writes").as_array()) {
        const auto id = row.at("lease").to_number<std::uint64_t>();
        if (id != 0 && !leases_.contains(id)) return Answer(to, 404, {});
      }
      for (const auto& row : body.at("writes").as_array()) {
        Write(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()),
              row.at("lease").to_number<std::uint64_t>());
      }
      for (const auto& key : body.at("remove").as_array()) Remove(std::string(key.as_string()));
      return Answer(to, 200, {{"revision", revision_}});
    }
    if (path == "/kv-lease") {
      const double ttl = std::max(1.0, body.at("ttlS").to_number<double>());
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {ttl, Now() + ttl};
      return Answer(to, 200, {{"lease", id}, {"ttlS", ttl}});
    }
    const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto found = leases_.find(id);
    if (found == leases_.end()) return Answer(to, 404, {});
    if (path.starts_with("/kv-keep/")) {
      found->second.ends = Now() + found->second.ttl;
      return Answer(to, 200, {{"ttlS", found->second.ttl}});
    }
    EndLease(id);
    return Answer(to, 200, {});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<std::pair<std::uint64_t, json::object>> history_;
  std::uint64_t revision_ = 10, last_lease_ = 1000;
  std::atomic<bool> is_ending_{false};
  server server_;
  std::vector<std::unique_ptr<front>> fronts_;
};

// A machine's ports; they are the same on all machines.
struct ports {
  int base;
  int inbound() const { return base; }
  int outbound() const { return base + 1; }
  int readiness() const { return base + 2; }
  int control() const { return base + 3; }
  int app() const { return base + 4; }
  int own() const { return base + 5; }
};

// One machine's node, run as the deploy file says, in the repository's root.
class node {
 public:
  node(std::string host, std::string service, ports at, std::string store_address,
       std::string folder, bool has_tenants = false)
      : host_(std::move(host)), folder_(std::move(folder)) {
    std::ifstream in("deploy/node.json");
    std::stringstream text;
    text << in.rdbuf();
    std::string settings = text.str();
    const auto set = [&](const std::string& name, const std::string& value) {
      for (std::size_t p; (p = settings.find("{{" + name + "}}")) != std::string::npos;) {
        settings.replace(p, name.size() + 4, value);
      }
    };
    const auto port = [&](int number) { return host_ + ":" + std::to_string(number); };
    set("ip", host_);
    set("zone", "zone-a");
    set("service", service);
    set("listen.outbound", port(at.outbound()));
    set("listen.inbound", port(at.inbound()));
    set("listen.readiness", port(at.readiness()));
    set("listen.control", port(at.control()));
    set("portRange.0", std::to_string(at.own()));
    set("appAddr", port(at.app()));
    set("platform.address", store_address);
    const std::string open = "{{#bounds.strictRevocation}}", close = "{{/bounds.strictRevocation}}";
    const auto from = settings.find(open), to = settings.find(close);
    if (from != std::string::npos && !has_tenants) {
      settings.erase(from, to + close.size() - from);
    } else if (from != std::string::npos) {
      settings.erase(to, close.size());
      settings.erase(from, open.size());
    }
    set("bounds.revokeS", "5");
    set("bounds.graceS", "6");
    file_ = folder_ + "/" + host_ + ".json";
    std::ofstream(file_) << settings;
  }
  ~node() { Kill(); }

  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the script, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string log = folder_ + "/" + host_ + ".log";
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("AUBURNFOLD_NODE_FILE", file_.c_str(), 1);
      const char* program = "target/Services/auburnfold-node/auburnfold-node";
      execl(program, program, static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  // Returns whether it has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0 || waitpid(pid_, &status_, WNOHANG) != pid_) return pid_ <= 0;
    pid_ = -1;
    return true;
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  int status() const { return status_; }

 private:
  std::string host_, folder_, file_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// One client attempt on a connection of its own or on a kept one.
struct attempt {
  std::string method = "GET", host, path, id, body = {};
  int deadline_ms = 5000;
  std::vector<std::pair<std::string, std::string>> more = {};
};
inline std::string Text(const attempt& sent) {
  std::vector<std::pair<std::string, std::string>> fields{
      {"Host", sent.host}, {"X-Request-Id", sent.id},
      {"X-Deadline-Ms", std::to_string(sent.deadline_ms)}};
  fields.insert(fields.end(), sent.more.begin(), sent.more.end());
  return Format(sent.method + " " + sent.path + " HTTP/1.1", fields, sent.body,
                sent.method != "GET");
}
inline std::string NewId() {
  static std::atomic<std::uint64_t> next{0x9c41d07b00000000ULL +
                                         static_cast<std::uint64_t>(getpid()) * 4096};
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

// A free block of ports for machines and stand-ins.
inline int FreePorts(const std::vector<std::string>& hosts, int count) {
  std::mt19937 random(static_cast<unsigned>(getpid()) ^
                      static_cast<unsigned>(clock_type::now().time_since_epoch().count()));
  for (int tries = 0; tries < 200; ++tries) {
    const int base = 20000 + static_cast<int>(random() % 10000);
    bool is_free = true;
    for (const auto& host : hosts) {
      for (int i = 0; i < count && is_free; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = Address(host, base + i);
        is_free = bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
        ::close(fd);
      }
    }
    if (is_free) return base;
  }
  return -1;
}

inline bool WaitReady(const std::string& host, int port, double seconds) {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (auto to = connection::To(host, port)) {
      to->Write(Format("GET /ready HTTP/1.1", {{"Host", host}}, "", false));
      const auto answer = to->Read(1, true);
      if (answer && answer->status() == 200) return true;
    }
    Sleep(0.05);
  }
  return false;
}

inline bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review

#endif  // REVIEW_STAND_INS_3_PARTS_HPP_
