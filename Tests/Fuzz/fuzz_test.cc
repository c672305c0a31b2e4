#include <gtest/gtest.h>

#include <cctype>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "LibDecision/Idempotency/issued_key.h"
#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Registry/member_codec.h"
#include "LibRuntime/Control/view_codec.h"
#include "LibWire/cbor_codec.h"
#include "fuzz_targets.h"

namespace auburnfold::fuzz {
namespace {

constexpr int kInputs = 4000;
/// Of streams: each opens a connection.
constexpr int kStreams = 40;
constexpr std::size_t kLongest = 400;

struct target {
  std::string name;
  void (*run)(input);
  /// A well-formed input, from which others are made.
  std::string sample;
};

std::string MessageSample() {
  peer_message message;
  message.from = node_id(7);
  message.content = member_update{
      {{.node = node_id(7), .service = service_name("listings")}}};
  const wire_bytes bytes = cbor_codec::Encode(message);
  return {bytes.begin(), bytes.end()};
}

member_record RecordSample() {
  return {.node = node_id(7),
          .run = incarnation(8),
          .address = {.host = "10.0.0.7", .peer_port = 81},
          .domain = domain_name("d"),
          .service = service_name("listings"),
          .slots = 12};
}

std::string Nested(const std::string& open, const std::string& close) {
  constexpr int kLevels = 10'000;
  std::string text;
  for (int i = 0; i < kLevels; ++i) {
    text.insert(0, open);
    text += close;
  }
  return text;
}

/// What other writers have left in place of a whole text or of one number.
std::vector<std::string> OddTexts() {
  constexpr std::size_t kMegabyte = 1'000'000;
  return {"", Nested("[", "]"), Nested(R"({"a":)", "}"),
          // Lists of one, and maps of one.
          std::string(10'000, '\x81'), std::string(10'000, '\xa1'),
          // Lists, texts and bytes of 2^64 - 1 elements.
          "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
          "\x7b\xff\xff\xff\xff\xff\xff\xff\xff",
          "\x5b\xff\xff\xff\xff\xff\xff\xff\xff", std::string(400, '9'),
          "1e999", "-1e999", "1e99999999999", "-1", "0.5", "0", "65536",
          "18446744073709551615", "18446744073709551616", "\xff\xfe",
          std::string("\0", 1), std::string(kMegabyte, 'a'), "null"};
}

std::vector<target> Targets() {
  return {
      {"Key", Key, Format({{node_id(1), incarnation(2)}, 3, 4}).value()},
      {"Message", Message, MessageSample()},
      {"Settings", Settings,
       R"({"host": "127.0.0.1", "domain": "d1", "call_port": 1, // ports
           "peer_port": 2, "control_port": 3, "admin_port": 4})"},
      {"Report", Report,
       R"({"service": "listings", "port": 9100, "run": 5, "state": "ready",
           "load": 0.4, "healthy": true, "connection_limit": 1100})"},
      {"Record", Record, EncodeMember(RecordSample())},
      {"Crash", Crash,
       EncodeCrash({.id = crash_id(7),
                    .suspects = {request_digest(1), request_digest(2)},
                    .time_left = std::chrono::seconds(9)})},
      {"View", View,
       EncodeView({.routes = "routes", .members = {RecordSample()}})},
      {"Quota", Quota,
       R"({"node":1,"usage":[{"tenant":"t","admitted":1,"returned":0,)"
       R"("requested":2,"more":true}]})"},
      {"Headers", Headers,
       "Auburnfold-Service:listings\nAuburnfold-Class:lookup\n"
       "Auburnfold-Timeout-Ms:250\nAuburnfold-From:0000000000000007\n"
       "Auburnfold-Expected-Run:9\nAuburnfold-Result:overloaded\n"
       "Auburnfold-Ran:not-run\nAuburnfold-Level:3"},
  };
}

std::vector<target> ConnectionTargets() {
  return {
      {"Requests", Requests,
       "\x04\x20\x55\x90\xf1"
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4;x=1\r\nbody\r\n0\r\nTrailer: t\r\n\r\n"
       "GET /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n"
       "PUT /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"},
      {"Responses", Responses,
       "\x04\x20\x55\x90\xf1"
       "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4;x=1\r\nbody\r\n0\r\nTrailer: t\r\n\r\n"},
  };
}

std::string Mutate(std::string text, std::mt19937_64& random) {
  const std::size_t changes = 1 + random() % 4;
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, 1 + random() % 4);
        break;
      case 2:
        text.insert(at, text.substr(random() % text.size(), 8));
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

std::string RandomText(std::mt19937_64& random) {
  std::string text(random() % kLongest, '\0');
  for (char& each : text) {
    each = static_cast<char>(random());
  }
  return text;
}

void Offer(const target& to, const std::string& text) {
  to.run({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
}

class a_connection : public testing::TestWithParam<target> {};

TEST_P(a_connection, ReadsTheSameInPiecesAsAtOnce) {
  std::mt19937_64 random(1);
  Offer(GetParam(), GetParam().sample);
  for (int i = 0; i < kStreams; ++i) {
    Offer(GetParam(), Mutate(GetParam().sample, random));
  }
}

INSTANTIATE_TEST_SUITE_P(Every,
                         a_connection,
                         testing::ValuesIn(ConnectionTargets()),
                         [](const auto& each) { return each.param.name; });

class a_decoder : public testing::TestWithParam<target> {};

TEST_P(a_decoder, TakesAnyBytes) {
  std::mt19937_64 random(1);
  const auto offer = [](const std::string& text) { Offer(GetParam(), text); };
  offer(GetParam().sample);
  for (int i = 0; i < kInputs; ++i) {
    offer(Mutate(GetParam().sample, random));
    offer(RandomText(random));
  }
}

// A digit may begin a number, a port or a length.
TEST_P(a_decoder, TakesOddTextsInPlaceOfAnyNumberOrOfAll) {
  const std::string& sample = GetParam().sample;
  for (const std::string& odd : OddTexts()) {
    const auto offer = [](const std::string& text) { Offer(GetParam(), text); };
    offer(odd);
    for (std::size_t at = 0; at < sample.size(); ++at) {
      if (std::isdigit(static_cast<unsigned char>(sample[at])) != 0) {
        std::string text = sample;
        offer(text.replace(at, 1, odd));
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Every,
                         a_decoder,
                         testing::ValuesIn(Targets()),
                         [](const auto& each) { return each.param.name; });

}  // namespace
}  // namespace auburnfold::fuzz
