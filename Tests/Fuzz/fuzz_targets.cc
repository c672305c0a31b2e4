#include "fuzz_targets.h"

#include <cstdlib>
#include <string>
#include <string_view>

#include "LibDecision/Idempotency/issued_key.h"
#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Registry/member_codec.h"
#include "LibRuntime/Control/quota_codec.h"
#include "LibRuntime/Control/view_codec.h"
#include "LibRuntime/Requests/endpoint_report.h"
#include "LibRuntime/Requests/headers.h"
#include "LibRuntime/Requests/parent_token.h"
#include "LibRuntime/Settings/node_settings.h"
#include "LibWire/cbor_codec.h"
#include "LibWire/header_names.h"

namespace auburnfold::fuzz {

namespace {

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

std::string_view TextOf(input bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

// Headers can hold no longer one, so none is parsed either.
constexpr std::size_t kMaxHeaderBytes = 0xfffd;

// One header a line: name, colon, value.
void ReadLines(std::string_view text, http::fields& headers) {
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    const std::size_t colon = line.find(':');
    const bool is_header = colon != std::string_view::npos && colon > 0;
    if (is_header && line.size() <= kMaxHeaderBytes) {
      headers.insert(line.substr(0, colon), line.substr(colon + 1));
    }
  }
}

}  // namespace

void Key(input bytes) {
  const idempotency_key text(std::string(TextOf(bytes)));
  const auto key = ParseKey(text);
  Require(!key || Format(*key) == text);
}

void Message(input bytes) {
  const auto decoded = cbor_codec::Decode(bytes);
  if (!decoded) {
    return;
  }
  const wire_bytes written = cbor_codec::Encode(*decoded);
  const auto again = cbor_codec::Decode(written);
  Require(again && cbor_codec::Encode(*again) == written);
}

void Settings(input bytes) {
  const auto settings = ParseNodeSettings("fuzz", TextOf(bytes));
  Require(!settings || settings->label_limit > 0);
}

void Report(input bytes) {
  const auto report = ParseEndpointReport(TextOf(bytes));
  Require(!report || report->port > 0);
}

void Record(input bytes) {
  const std::string key = MemberKey(node_id(7));
  const auto record = DecodeMember(key, TextOf(bytes));
  Require(!record || DecodeMember(key, EncodeMember(*record)) == record);
  Require(!record || record->address.peer_port > 0);
}

void Crash(input bytes) {
  const std::string key = CrashKey(crash_id(7));
  const auto record = DecodeCrash(key, TextOf(bytes));
  if (!record) {
    return;
  }
  const auto again = DecodeCrash(key, EncodeCrash(*record));
  Require(again && again->suspects == record->suspects &&
          again->time_left == record->time_left);
}

void View(input bytes) {
  const auto view = DecodeView(TextOf(bytes));
  if (!view) {
    return;
  }
  const auto again = DecodeView(EncodeView(*view));
  Require(again && again->members == view->members &&
          again->crashes.size() == view->crashes.size() &&
          again->routes == view->routes);
}

void Quota(input bytes) {
  const auto report = DecodeQuotaReport(TextOf(bytes));
  Require(!report || DecodeQuotaReport(EncodeQuotaReport(*report)));
  DecodeQuotaGrants(TextOf(bytes));
}

void Headers(input bytes) {
  http_request request;
  ReadLines(TextOf(bytes), request);
  const auto call = ReadCallerHeaders(request);
  Require(!call || call->time_left > duration::zero());
  const auto work = ReadForwardedHeaders(request);
  Require(!work || !work->metadata.service.value().empty());
  parent_token::Parse(request[kParentHeader]);

  http_response response;
  ReadLines(TextOf(bytes), response);
  const outcome result = ReadPeerOutcome(response);
  const bool says_how = !response[kResultHeader].empty();
  const bool is_claimed =
      result.is_complete() || result.execution == execution_state::kNotExecuted;
  Require(says_how || !is_claimed);
}

}  // namespace auburnfold::fuzz
