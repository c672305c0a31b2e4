// A request whose header is within `maxHeaderBytes` ends the node that reads it.
#include "../harness.hpp"

namespace review {

void RunLargeHeader(const std::string& folder) {
  constexpr int kMaxHeaderBytes = 131'072;
  constexpr std::size_t kCookieBytes = 70'000;
  constexpr int kClients = 8;
  deployment all({"booking", "gate"}, folder,
                 {.max_header_bytes = kMaxHeaderBytes});
  const auto choose = [](const message& request) {
    const bool is_slow = request.target().find("slow") != std::string::npos;
    return work{.ms = is_slow ? 2000 : 20};
  };
  if (!all.Start(choose) || !Serves(all, {"/booking-read/a", "/gate-read/a"})) {
    Finish(all, kCannotRun, "the deployment does not serve");
  }
  // Clients with kept connections, whose second requests are at work when the
  // large one arrives.
  std::atomic<int> unanswered{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const int fd = Connect(all.hosts[0], all.at.outbound);
      reader answers(fd);
      const std::string first = "first" + std::to_string(i);
      SendAll(fd, Format(Request("GET", "/gate-read/quick", first, 5000)));
      const auto ready = answers.Read(5000, true);
      record.Line("answered " + first + ": " +
                  (ready ? ready->start : "nothing"));
      const std::string id = "slow" + std::to_string(i);
      SendAll(fd, Format(Request("POST", "/gate-write/slow", id, 5000)));
      record.Line("sent " + id);
      const auto answer = answers.Read(6000, true);
      record.Line("answered " + id + ": " +
                  (answer ? answer->start : "nothing, the connection closed"));
      unanswered += answer ? 0 : 1;
      close(fd);
    });
  }
  Pause(1000);
  message large = Request("GET", "/gate-read/large", "large1", 3000);
  const std::size_t bytes = HasTrouble() ? kCookieBytes : 10'000;
  large.headers.emplace_back("Cookie", std::string(bytes, 'c'));
  record.Line("sent large1 with a header field of " + std::to_string(bytes) +
              " bytes; maxHeaderBytes is " + std::to_string(kMaxHeaderBytes));
  const auto answer = Call(all.hosts[0], all.at.outbound, large, 3000);
  record.Line("answered large1: " +
              (answer ? answer->start : "nothing, the connection closed"));
  for (std::thread& each : clients) {
    each.join();
  }
  bool has_ended = all.nodes[0]->HasEnded();
  for (int i = 0; i < 20 && !has_ended; ++i) {
    Pause(100);
    has_ended = all.nodes[0]->HasEnded();
  }
  // LOST: more than three.
  Finish(all, unanswered > 3 ? kBroken : kHeld,
         std::to_string(unanswered) + " of " + std::to_string(kClients) +
             " requests that were passed on got no answer; node " +
             (has_ended ? "ended by itself: " + all.nodes[0]->Describe()
                        : "runs"));
}

}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv, review::RunLargeHeader);
}
