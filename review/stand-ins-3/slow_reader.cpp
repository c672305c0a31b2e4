// An upstream reads the body of a request slowly: it pauses once for 2 s. The
// node that took the request is stopped meanwhile (SIGTERM).
#include "upstream.hpp"

using namespace review;

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  const bool is_troubled = IsTroubled();
  record out(arguments[2]);
  const std::string a = "127.0.74.1", b = "127.0.74.2", s = "127.0.74.9";
  const int base = FreePorts({a, b, s}, 8);
  if (base < 0) return 2;
  const ports at{base};
  store kv(s, base);
  if (!kv.Start()) return 2;
  kv.Put("op/config",
         R"({"version":"r7","resources":[{"resourceType":"routes","metadata":{"name":"r-89anu6w"},"spec":{"host":"jepu9.example","prefix":"/puka111/","kind":"non_idempotent","timeoutS":5,"targetLatencyS":1.2,"priority":0,"service":"wuno96b","maxAttempts":2}},{"resourceType":"services","metadata":{"name":"wuno96b"},"spec":{"healthPath":"/health","maxConnections":1264,"protocol":"h1","tls":false}},{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]})");
  const std::string store_address = s + ":" + std::to_string(base);
  node front(a, "kafi81c", at, store_address, folder);
  node beside(b, "wuno96b", at, store_address, folder);
  // Only reports; the requests come to the server below.
  upstream reporter(b, at, "wuno96b", "i-7f3a91c2", out);
  std::mutex mutex;
  std::map<std::string, std::string> ends;
  const double pause = is_troubled ? 2.0 : 0.0;
  server served(b, at.app(), [&](connection& to, const message& request) {
    const std::string id = request.Get("X-Request-Id");
    if (request.target() == "/health") {
      return to.Write(Format("HTTP/1.1 200 OK", {{"X-Instance-Id", "i-7f3a91c2"}}, ""));
    }
    out.Write("upstream begins " + id + ", deadline " + request.Get("X-Deadline-Ms"));
    Sleep(pause);
    std::string body;
    const bool is_whole = to.ReadBody(std::strtoul(request.Get("Content-Length").c_str(), nullptr, 10), 5, body);
    const std::string end = is_whole ? "read whole" : to.is_reset() ? "reset by the node" : "cut by the node";
    out.Write("upstream " + id + ": body " + end);
    {
      const std::lock_guard lock(mutex);
      ends[id] = end;
    }
    return is_whole && to.Write(Format("HTTP/1.1 200 OK", {{"X-Request-Id", id}, {"X-Response-Signature", "s." + id}}, "stored\n"));
  });
  served.receive_bytes = 8192;
  served.reads_bodies = false;
  if (!served.Start()) return 2;
  front.Start();
  beside.Start();
  if (!WaitReady(a, at.readiness(), 10) || !WaitReady(b, at.readiness(), 10)) return 2;
  std::atomic<bool> is_over{false};
  std::thread reports([&] {
    for (std::uint64_t seq = 1; !is_over; ++seq) {
      reporter.Report(seq, "ready");
      for (int k = 0; k < 30 && !is_over; ++k) Sleep(0.05);
    }
  });
  Sleep(5);
  const std::string body(200000, 'b');
  std::atomic<int> served_count{0}, broken{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 10; ++i) {
    clients.emplace_back([&] {
      attempt sent{.method = "POST", .host = "jepu9.example", .path = "/puka111/2f", .id = NewId(), .body = body};
      auto to = connection::To(a, at.outbound());
      const auto answer = to && to->Write(Text(sent)) ? to->Read(6, true) : std::nullopt;
      out.Write("client " + sent.id + ", answer " + std::to_string(answer ? answer->status() : 0) + " " + (answer ? answer->body : ""));
      ++(answer && answer->status() == 200 ? served_count : broken);
    });
    Sleep(0.02);
  }
  Sleep(0.1);
  out.Write("SIGTERM to the node that took the requests");
  front.Signal(SIGTERM);
  for (auto& client : clients) client.join();
  is_over = true;
  reports.join();
  front.Kill();
  beside.Kill();
  served.Stop();
  kv.Stop();
  std::printf("answered by the upstream %d, broken off %d\n", served_count.load(), broken.load());
  return broken > 0 ? 1 : 0;
}
