// While the store is down, an upstream leaves and its node acknowledges it. The
// node is killed and started again, and the store comes back. Then a heartbeat
// arrives that was sent before the leave.
#include "fleet.hpp"

using namespace review;

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  const bool is_troubled = IsTroubled();
  record out(arguments[2]);
  const std::string a = "127.0.76.1", b = "127.0.76.2", s = "127.0.76.9";
  const std::vector<std::string> others{"127.0.76.3", "127.0.76.4", "127.0.76.5"};
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
  constexpr double kDrain = 2, kStable = 3;
  const double began = Now();
  served.Report(1, "ready");
  SleepUntil(began + 1.5);
  served.Report(2, "ready");
  SleepUntil(began + 3.0);
  served.Report(3, "ready");

  // No requests around the leave: a node that is answered by the leaving
  // upstream's node there would tell the next run of it.
  std::atomic<bool> is_over{false};
  std::map<int, int> answers;
  std::map<std::string, double> sent_at;
  std::mutex mutex;
  std::vector<std::thread> clients;
  for (int i = 0; i < 24; ++i) {
    clients.emplace_back([&, i] {
      SleepUntil(began + 0.6 + 0.04 * i);
      while (!is_over) {
        const double now = Now() - began;
        if (now > 3.9 && now < 6.6) {
          Sleep(0.02);
          continue;
        }
        attempt sent{.host = "hulo84.example", .path = "/leny950/2f", .id = NewId()};
        auto to = connection::To(a, at.outbound());
        {
          const std::lock_guard lock(mutex);
          sent_at[sent.id] = Now();
        }
        const auto answer = to && to->Write(Text(sent)) ? to->Read(5, true) : std::nullopt;
        const int status = answer ? answer->status() : 0;
        {
          const std::lock_guard lock(mutex);
          ++answers[status];
        }
        out.Write("client sent " + sent.id + ", answer " + std::to_string(status));
        Sleep(0.02);
      }
    });
  }
  // The heartbeat with seq 4 is sent at 4.5 s and arrives 7 s later.
  std::thread late([&] {
    SleepUntil(began + 11.5);
    served.Report(4, "ready");
  });
  SleepUntil(began + 4.4);
  if (is_troubled) {
    kv.is_down = true;
    out.Write("the store is down");
  }
  SleepUntil(began + 4.6);
  served.is_leaving = true;
  const bool is_acknowledged = served.Leave(5);
  const double acknowledged_at = Now();
  double started_at = 0;
  SleepUntil(began + 5.8);
  if (is_troubled) {
    beside.Kill();
    out.Write("the node beside the upstream is killed");
    Sleep(0.5);
    beside.Start();
    started_at = Now();
    out.Write("it is started again");
    Sleep(0.7);
    kv.is_down = false;
    out.Write("the store is back");
  }
  const double calm_from = Now() + kStable;
  SleepUntil(began + 16);
  late.join();
  is_over = true;
  for (auto& client : clients) client.join();
  int counted = 0, before = 0;
  for (const run_entry& run : served.Runs()) {
    if (run.at < acknowledged_at) ++before;
    // Sent and run after the drain, all machines in touch again.
    if (run.at > acknowledged_at + kDrain && sent_at[run.id] > std::max(calm_from, started_at + kStable)) ++counted;
  }
  front.Kill();
  beside.Kill();
  rest.Stop();
  served.Stop();
  kv.Stop();
  std::string summary = "run before the leave " + std::to_string(before) + ", in touch and later than drainS after the acknowledgement " + std::to_string(counted) + "; answers";
  for (const auto& [status, count] : answers) summary += " " + std::to_string(status) + ":" + std::to_string(count);
  out.Write(summary);
  std::printf("%s\n", summary.c_str());
  if (!is_acknowledged || before == 0) return 2;
  return counted > 0 ? 1 : 0;
}
