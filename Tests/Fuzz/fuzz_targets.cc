#include "fuzz_targets.h"

#include <cstdlib>
#include <string>
#include <string_view>

#include "LibDecision/Idempotency/issued_key.h"
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

// One header a line: name, colon, value.
void ReadLines(std::string_view text, http::fields& headers) {
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos && colon > 0) {
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
