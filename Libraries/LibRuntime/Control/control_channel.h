#ifndef LIBRUNTIME_CONTROL_CONTROL_CHANNEL_H_
#define LIBRUNTIME_CONTROL_CONTROL_CHANNEL_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibDecision/effect.h"
#include "LibRuntime/Control/nng_receiver.h"
#include "LibRuntime/Control/nng_sender.h"
#include "LibRuntime/Observability/node_metrics.h"

namespace auburnfold {

/// Sends and receives control messages between nodes over nng. One pull socket
/// receives from all nodes. Each neighbour has a push socket; those to other
/// nodes are opened on demand and closed when idle.
class control_channel {
 public:
  using message_handler = std::function<void(peer_message)>;

  control_channel(boost::asio::io_context& io,
                  message_handler on_message,
                  node_metrics& metrics);

  /// Listens for messages. Fails with `nng_error`.
  boost::leaf::result<void> Listen(const std::string& host, std::uint16_t port);

  void Execute(const set_neighbours& effect);
  /// A message that nng does not accept without blocking is lost and counted.
  void Execute(const send_message& effect);

  /// Closes idle sockets to nodes that are not neighbours. To be called about
  /// once a second.
  void Sweep();
  void Close();

  std::uint16_t port() const { return receiver_.port(); }

 private:
  struct destination {
    std::unique_ptr<nng_sender> sender;
    bool is_neighbour = false;
    /// Sweeps until the socket is closed if the node is not a neighbour and
    /// gets no further message.
    int sweeps_left = 0;
  };

  nng_sender* FindOrCreateSender(const node_address& to);
  void OnMessageBytes(std::vector<std::uint8_t> bytes);

  message_handler on_message_;
  node_metrics& metrics_;
  nng_receiver receiver_;
  std::map<node_address, destination> destinations_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_CONTROL_CHANNEL_H_
