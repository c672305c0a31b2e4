// Clients send a header of their own, Idempotency-Key, with values that are
// valid field values (RFC 9110, section 5.5). Nothing else happens.
#include "upstream.hpp"

using namespace review;

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  const bool is_troubled = IsTroubled();
  record out(arguments[2]);
  const std::string a = "127.0.73.1", b = "127.0.73.2", s = "127.0.73.9";
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
  upstream served(b, at, "wuno96b", "i-7f3a91c2", out);
  if (!served.Start()) return 2;
  front.Start();
  beside.Start();
  if (!WaitReady(a, at.readiness(), 10) || !WaitReady(b, at.readiness(), 10)) return 2;
  std::atomic<bool> is_over{false};
  std::thread reports([&] {
    for (std::uint64_t seq = 1; !is_over; ++seq) {
      served.Report(seq, "ready");
      for (int k = 0; k < 30 && !is_over; ++k) Sleep(0.05);
    }
  });
  Sleep(4);
  // One of the values has a space, the other 160 characters.
  const std::string values[] = {"order 4711/2", std::string(160, 'k')};
  std::map<int, int> answers;
  for (int i = 0; i < 100; ++i) {
    attempt sent{.method = "POST", .host = "jepu9.example", .path = "/puka111/2f", .id = NewId(), .body = "{\"slot\":7}"};
    if (is_troubled) sent.more = {{"Idempotency-Key", values[i % 2]}};
    auto to = connection::To(a, at.outbound());
    const auto answer = to && to->Write(Text(sent)) ? to->Read(5, true) : std::nullopt;
    const int status = answer ? answer->status() : 0;
    ++answers[status];
    out.Write("client sent " + sent.id + ", answer " + std::to_string(status) + " " + (answer ? answer->body.substr(0, 120) : ""));
    Sleep(0.01);
  }
  is_over = true;
  reports.join();
  const std::size_t run = served.Runs().size();
  front.Kill();
  beside.Kill();
  served.Stop();
  kv.Stop();
  int denied = 0;
  for (const auto& [status, count] : answers) {
    const bool is_own = status / 100 == 3 || status / 100 == 4;
    if (is_own && status != 408 && status != 421 && status != 429) denied += count;
  }
  const double allowed = 5 + 100 / 500.0;
  std::printf("run %zu of 100, ended with a 3xx or 4xx: %d, allowed %.1f\n", run, denied, allowed);
  if (answers[0] > 0) return 2;
  return denied > allowed ? 1 : 0;
}
