#ifndef LIBRUNTIME_CONTROL_CHANNEL_H_
#define LIBRUNTIME_CONTROL_CHANNEL_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibDecision/effect.h"
#include "LibRuntime/nng_receiver.h"
#include "LibRuntime/nng_sender.h"
#include "LibRuntime/node_metrics.h"

namespace auburnfold {

/// Control messages to and from other nodes over nng: one socket that all
/// others push to, and one towards each neighbour.
class control_channel {
 public:
  using message_handler = std::function<void(peer_message)>;

  control_channel(boost::asio::io_context& io,
                  message_handler on_message,
                  node_metrics& metrics);

  /// Listens for messages. Fails with `nng_error`.
  boost::leaf::result<void> Listen(const std::string& host, std::uint16_t port);

  void Execute(const set_neighbours& effect);
  /// A message that cannot be handed over at once is lost, and counted.
  void Execute(const send_message& effect);

  /// Closes sockets to nodes that are no neighbours. Call it about once a
  /// second.
  void Sweep();
  void Close();

  std::uint16_t port() const { return receiver_.port(); }

 private:
  struct destination {
    std::unique_ptr<nng_sender> sender;
    bool is_neighbour = false;
    /// Sweeps that a socket to a node that is no neighbour still lives.
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

#endif  // LIBRUNTIME_CONTROL_CHANNEL_H_
