#include "LibRuntime/Connections/tcp_timeouts.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace auburnfold {

namespace {

// A packet lost twice in a row is retransmitted after 200 and 400 ms, within
// this timeout.
constexpr int kUserTimeoutMs = 1000;
// Keepalive probes of an idle connection.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kMaxKeepaliveProbes = 2;

// Errors are ignored: a connection without the option still works, and the
// deadlines of its requests detect a peer that stopped responding.
void SetSocketOption(tcp::socket& socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

void SetTcpTimeouts(tcp::socket& socket) {
  SetSocketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetSocketOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
                  kKeepaliveIntervalSeconds);
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kMaxKeepaliveProbes);
}

}  // namespace auburnfold
