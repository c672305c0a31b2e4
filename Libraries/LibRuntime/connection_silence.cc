#include "LibRuntime/connection_silence.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace auburnfold {

namespace {

// Two lost packets in a row are sent again after 200 and 400 ms.
constexpr int kLongestUnconfirmedMs = 1000;
// Probes of a connection on which nothing is sent.
constexpr int kIdleBeforeProbeS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kProbes = 2;

// A connection without the option still works, and its silence is found by
// its requests' deadlines.
void Set(tcp::socket& socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

void LimitSilence(tcp::socket& socket) {
  Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kLongestUnconfirmedMs);
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleBeforeProbeS);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace auburnfold
