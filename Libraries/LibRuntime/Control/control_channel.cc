#include "LibRuntime/Control/control_channel.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "LibWire/cbor_codec.h"

namespace auburnfold {

namespace {

constexpr int kIdleSweepsBeforeClose = 3;
constexpr std::size_t kMaxNonNeighbourSockets = 32;

}  // namespace

control_channel::control_channel(boost::asio::io_context& io,
                                 message_handler on_message,
                                 node_metrics& metrics)
    : on_message_(std::move(on_message)),
      metrics_(metrics),
      receiver_(io, [this](std::vector<std::uint8_t> bytes) {
        OnMessageBytes(std::move(bytes));
      }) {}

boost::leaf::result<void> control_channel::Listen(const std::string& host,
                                                  std::uint16_t port) {
  return receiver_.Listen(host, port);
}

void control_channel::Execute(const set_neighbours& effect) {
  for (auto& [address, entry] : destinations_) {
    entry.is_neighbour = false;
  }
  for (const node_address& address : effect.neighbours) {
    destination& entry = destinations_[address];
    entry.is_neighbour = true;
    if (!entry.sender) {
      entry.sender =
          std::make_unique<nng_sender>(address.host, address.control_port);
    }
  }
  std::erase_if(destinations_, [](const auto& entry) {
    return !entry.second.is_neighbour && entry.second.sweeps_left <= 0;
  });
}

void control_channel::Execute(const send_message& effect) {
  const wire_bytes bytes = cbor_codec::Encode(effect.message);
  nng_sender* sender = FindOrCreateSender(effect.to);
  if (sender == nullptr || !sender->Send(bytes)) {
    return metrics_.Count(runtime_counter::kMessagesLost);
  }
  metrics_.Count(runtime_counter::kBytesSent, bytes.size());
}

void control_channel::Sweep() {
  for (auto& [address, entry] : destinations_) {
    --entry.sweeps_left;
  }
  std::erase_if(destinations_, [](const auto& entry) {
    return !entry.second.is_neighbour && entry.second.sweeps_left <= 0;
  });
}

void control_channel::Close() {
  receiver_.Close();
  destinations_.clear();
}

nng_sender* control_channel::FindOrCreateSender(const node_address& to) {
  const auto found = destinations_.find(to);
  if (found != destinations_.end()) {
    found->second.sweeps_left = kIdleSweepsBeforeClose;
    return found->second.sender.get();
  }
  const auto non_neighbours = std::count_if(
      destinations_.begin(), destinations_.end(),
      [](const auto& entry) { return !entry.second.is_neighbour; });
  if (static_cast<std::size_t>(non_neighbours) >= kMaxNonNeighbourSockets) {
    return nullptr;
  }
  destination& entry = destinations_[to];
  entry.sender = std::make_unique<nng_sender>(to.host, to.control_port);
  entry.sweeps_left = kIdleSweepsBeforeClose;
  return entry.sender.get();
}

void control_channel::OnMessageBytes(std::vector<std::uint8_t> bytes) {
  metrics_.Count(runtime_counter::kMessagesReceived);
  metrics_.Count(runtime_counter::kBytesReceived, bytes.size());
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(message, cbor_codec::Decode(bytes));
        on_message_(std::move(message));
        return {};
      },
      [this] { metrics_.Count(runtime_counter::kMessagesRejected); });
}

}  // namespace auburnfold
