#include "LibDecision/Membership/seed_discovery.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace auburnfold {

namespace {

using std::chrono::seconds;

constexpr std::string_view kSeedsPrefix = "seeds/";
constexpr duration kPublisherReadInterval = seconds(30);
constexpr duration kMinReadDelay = seconds(1);
constexpr std::uint32_t kMaxReadDelayDoublings = 5;
// A node that is still alone after this time assumes that the stored addresses
// belong to nodes that are gone, and overwrites them.
constexpr duration kStaleEntryTimeout = seconds(10);

bool ReadPort(std::string_view word, std::uint16_t& port) {
  const char* last = word.data() + word.size();
  const auto [stopped, error] = std::from_chars(word.data(), last, port);
  return error == std::errc() && stopped == last && port != 0;
}

std::string_view TakeToken(std::string_view& text, char end) {
  const std::size_t found = text.find(end);
  const std::string_view taken = text.substr(0, found);
  text.remove_prefix(found == std::string_view::npos ? text.size() : found + 1);
  return taken;
}

duration WithJitter(event_context& context, duration max_delay) {
  return std::chrono::duration_cast<duration>(
      max_delay * (0.5 + context.RandomFraction() / 2));
}

}  // namespace

void seed_discovery::Start(event_context& context, const domain_view& view) {
  domain_view_ = view;
  alone_since_ = context.now();
  ReadSeeds(context);
}

void seed_discovery::OnHeartbeatInterval(event_context& context,
                                         const domain_view& view) {
  domain_view_ = view;
  if (!domain_view_.is_alone) {
    alone_since_ = context.now();
    reads_while_alone_ = 0;
  }
  const bool is_read_needed =
      domain_view_.is_alone || domain_view_.is_publisher;
  if (is_read_needed && context.now() >= next_read_) {
    ReadSeeds(context);
  }
}

void seed_discovery::OnStoreAnswered(event_context& context,
                                     const store_answered& answer) {
  if (answer.call == write_call_) {
    write_call_.reset();
    for (const store_entry& entry : answer.result.entries) {
      AddAddresses(entry.value);
    }
    return;
  }
  if (answer.call == read_call_) {
    read_call_.reset();
    OnReadResult(context, answer.result);
  }
}

void seed_discovery::ReadSeeds(event_context& context) {
  if (read_call_) {
    return;
  }
  read_call_ = call_ids_.Next();
  const duration delay =
      domain_view_.is_alone
          ? kMinReadDelay *
                (1U << std::min(reads_while_alone_++, kMaxReadDelayDoublings))
          : kPublisherReadInterval;
  next_read_ = context.now() + WithJitter(context, delay);
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*read_call_, store_list{std::string(kSeedsPrefix)}});
}

void seed_discovery::OnReadResult(event_context& context,
                                  const store_result& result) {
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    return;
  }
  addresses_.clear();
  const std::string own_key =
      std::string(kSeedsPrefix) + domain_view_.domain.value();
  std::string stored;
  store_revision revision;
  for (const unreadable_entry& entry : result.unreadable) {
    revision = entry.key == own_key ? entry.revision : revision;
  }
  for (const store_entry& entry : result.entries) {
    AddAddresses(entry.value);
    if (entry.key == own_key) {
      stored = entry.value;
      revision = entry.revision;
    }
  }
  PublishIfNeeded(context, stored, revision);
}

void seed_discovery::PublishIfNeeded(event_context& context,
                                     const std::string& stored,
                                     store_revision revision) {
  const std::string encoded = EncodeAddresses(domain_view_.addresses);
  if (!domain_view_.is_publisher || write_call_ || encoded == stored) {
    return;
  }
  const bool may_be_in_use = domain_view_.is_alone && !stored.empty() &&
                             context.now() - alone_since_ < kStaleEntryTimeout;
  if (may_be_in_use) {
    return;
  }
  write_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{
      *write_call_, store_compare_and_swap{
                        std::string(kSeedsPrefix) + domain_view_.domain.value(),
                        encoded, revision}});
}

void seed_discovery::AddAddresses(std::string_view value) {
  for (const node_address& address : DecodeAddresses(value)) {
    const bool is_known = std::find(addresses_.begin(), addresses_.end(),
                                    address) != addresses_.end();
    if (!is_known) {
      addresses_.push_back(address);
    }
  }
}

std::string EncodeAddresses(const std::vector<node_address>& addresses) {
  std::string value;
  for (const node_address& address : addresses) {
    value += address.host + ' ' + std::to_string(address.peer_port) + ' ' +
             std::to_string(address.control_port) + '\n';
  }
  return value;
}

std::vector<node_address> DecodeAddresses(std::string_view value) {
  std::vector<node_address> addresses;
  while (!value.empty()) {
    std::string_view line = TakeToken(value, '\n');
    node_address address;
    address.host = std::string(TakeToken(line, ' '));
    const std::string_view peer_port = TakeToken(line, ' ');
    const bool is_valid = ReadPort(peer_port, address.peer_port) &&
                          ReadPort(line, address.control_port);
    if (is_valid && !address.host.empty()) {
      addresses.push_back(std::move(address));
    }
  }
  return addresses;
}

}  // namespace auburnfold
