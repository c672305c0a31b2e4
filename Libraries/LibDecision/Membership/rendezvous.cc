#include "LibDecision/Membership/rendezvous.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace auburnfold {

namespace {

using std::chrono::seconds;

constexpr std::string_view kSeedsPrefix = "seeds/";
constexpr duration kKeepInterval = seconds(30);
constexpr duration kFirstReadDelay = seconds(1);
constexpr std::uint32_t kMostDoublings = 5;
// After this long without an answer, the stored addresses are of nodes that
// are gone.
constexpr duration kStaleEntryDelay = seconds(10);

bool ReadPort(std::string_view word, std::uint16_t& port) {
  const char* last = word.data() + word.size();
  const auto [stopped, error] = std::from_chars(word.data(), last, port);
  return error == std::errc() && stopped == last && port != 0;
}

std::string_view TakeUntil(std::string_view& text, char end) {
  const std::size_t found = text.find(end);
  const std::string_view taken = text.substr(0, found);
  text.remove_prefix(found == std::string_view::npos ? text.size() : found + 1);
  return taken;
}

duration Jittered(event_context& context, duration longest) {
  return std::chrono::duration_cast<duration>(
      longest * (0.5 + context.RandomFraction() / 2));
}

}  // namespace

void rendezvous::Start(event_context& context, const rendezvous_view& view) {
  view_ = view;
  alone_since_ = context.now();
  Read(context);
}

void rendezvous::OnTick(event_context& context, const rendezvous_view& view) {
  view_ = view;
  if (!view_.is_alone) {
    alone_since_ = context.now();
    reads_alone_ = 0;
  }
  const bool is_wanted = view_.is_alone || view_.is_keeper;
  if (is_wanted && context.now() >= next_read_) {
    Read(context);
  }
}

void rendezvous::OnStoreAnswered(event_context& context,
                                 const store_answered& answer) {
  if (answer.call == write_call_) {
    write_call_.reset();
    for (const store_entry& entry : answer.result.entries) {
      Learn(entry.value);
    }
    return;
  }
  if (answer.call == read_call_) {
    read_call_.reset();
    OnRead(context, answer.result);
  }
}

void rendezvous::Read(event_context& context) {
  if (read_call_) {
    return;
  }
  read_call_ = call_ids_.Next();
  const duration delay =
      view_.is_alone
          ? kFirstReadDelay * (1U << std::min(reads_alone_++, kMostDoublings))
          : kKeepInterval;
  next_read_ = context.now() + Jittered(context, delay);
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*read_call_, store_list{std::string(kSeedsPrefix)}});
}

void rendezvous::OnRead(event_context& context, const store_result& result) {
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    return;
  }
  addresses_.clear();
  const std::string own_key = std::string(kSeedsPrefix) + view_.domain.value();
  std::string stored;
  store_revision revision;
  for (const store_entry& entry : result.entries) {
    Learn(entry.value);
    if (entry.key == own_key) {
      stored = entry.value;
      revision = entry.revision;
    }
  }
  WriteIfNeeded(context, stored, revision);
}

void rendezvous::WriteIfNeeded(event_context& context,
                               const std::string& stored,
                               store_revision revision) {
  const std::string wanted = EncodeAddresses(view_.wanted);
  if (!view_.is_keeper || write_call_ || wanted == stored) {
    return;
  }
  const bool may_be_answered = view_.is_alone && !stored.empty() &&
                               context.now() - alone_since_ < kStaleEntryDelay;
  if (may_be_answered) {
    return;
  }
  write_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{
      *write_call_,
      store_compare_and_swap{std::string(kSeedsPrefix) + view_.domain.value(),
                             wanted, revision}});
}

void rendezvous::Learn(std::string_view value) {
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
    std::string_view line = TakeUntil(value, '\n');
    node_address address;
    address.host = std::string(TakeUntil(line, ' '));
    const std::string_view peer_port = TakeUntil(line, ' ');
    const bool is_read = ReadPort(peer_port, address.peer_port) &&
                         ReadPort(line, address.control_port);
    if (is_read && !address.host.empty()) {
      addresses.push_back(std::move(address));
    }
  }
  return addresses;
}

}  // namespace auburnfold
