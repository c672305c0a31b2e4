// A first report (seq 0) comes seconds late, after the upstream has said that
// it is draining and its node has acknowledged that.
#include "fleet.hpp"

using namespace review;

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  const bool is_troubled = IsTroubled();
  record out(arguments[2]);
  const std::string a = "127.0.71.1", b = "127.0.71.2", s = "127.0.71.9";
  const std::vector<std::string> others{"127.0.71.3", "127.0.71.4", "127.0.71.5"};
  const int base = FreePorts({a, b, s, others[0], others[1], others[2]}, 8);
  if (base < 0) return 2;
  const ports at{base};
  store kv(s, base);
  if (!kv.Start()) return 2;
  kv.Put("op/config",
         R"({"version":"r7","resources":[{"resourceType":"routes","metadata":{"name":"r-ctnfzs9"},"spec":{"host":"hulo84.example","prefix":"/leny950/","kind":"idempotent","timeoutS":5,"targetLatencyS":1.2,"priority":2,"service":"huvo11a","maxAttempts":2}},{"resourceType":"services","metadata":{"name":"huvo11a"},"spec":{"healthPath":"/health","maxConnections":1264,"protocol":"h1","tls":false}},{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]})");
  const std::string store_address = s + ":" + std::to_string(base);
  node front(a, "kafi81c", at, store_address, folder);
  node beside(b, "huvo11a", at, store_address, folder);
  upstream served(b, at, "huvo11a", "i-7f3a91c2", out);
  served.work_s = 0.05;
  if (!served.Start()) return 2;
  fleet rest(others, "huvo11a", at, store_address, folder, out);
  front.Start();
  beside.Start();
  if (!rest.Start()) return 2;
  if (!WaitReady(a, at.readiness(), 10) || !WaitReady(b, at.readiness(), 10)) return 2;

  // The first report is on its way for 6 s where there is trouble.
  const double began = Now();
  constexpr double kBeat = 1.5, kDrain = 2;
  std::thread late([&] {
    if (is_troubled) SleepUntil(began + 6.0);
    served.Report(0, "ready");
  });
  std::atomic<bool> is_over{false};
  std::atomic<int> answered{0}, refused{0}, other{0};
  std::vector<std::thread> clients;
  SleepUntil(began + 0.2);
  for (int i = 0; i < 24; ++i) {
    clients.emplace_back([&, i] {
      Sleep(0.003 * i);
      while (!is_over) {
        auto to = connection::To(a, at.outbound());
        attempt sent{.host = "hulo84.example", .path = "/leny950/2f", .id = NewId()};
        if (to && to->Write(Text(sent))) {
          const auto answer = to->Read(5, true);
          const int status = answer ? answer->status() : 0;
          out.Write("client sent " + sent.id + ", answer " + std::to_string(status));
          ++(status == 200 ? answered : status == 503 ? refused : other);
        }
        Sleep(0.02);
      }
    });
  }
  // seq 1 at 1.5 s; from 2.5 s on the upstream drains, and says so with each
  // later report. It serves for 5.5 s more, then leaves.
  SleepUntil(began + kBeat);
  served.Report(1, "ready");
  SleepUntil(began + 2.5);
  served.is_leaving = true;
  const bool is_acknowledged = served.Report(2, "draining");
  const double acknowledged_at = Now();
  for (int seq = 3; seq <= 5; ++seq) {
    SleepUntil(began + 2.5 + kBeat * (seq - 2));
    served.Report(static_cast<std::uint64_t>(seq), "draining");
  }
  SleepUntil(began + 8.0);
  served.Leave(6);
  late.join();
  is_over = true;
  for (auto& client : clients) client.join();
  int early = 0, after = 0;
  for (const run_entry& run : served.Runs()) {
    ++(run.at > acknowledged_at + kDrain ? after : early);
  }
  served.Stop();
  front.Kill();
  beside.Kill();
  rest.Stop();
  kv.Stop();
  out.Write("answered " + std::to_string(answered) + ", refused " + std::to_string(refused) + ", other " + std::to_string(other));
  out.Write("acknowledged " + std::string(is_acknowledged ? "yes" : "no") + "; run before the drain's end " +
            std::to_string(early) + ", later " + std::to_string(after));
  std::printf("run until drainS after the acknowledgement: %d, later: %d\n", early, after);
  if (!is_acknowledged || early == 0) return 2;
  return after > 0 ? 1 : 0;
}
