#include "auburnfold-load/answer_body.h"

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

constexpr std::size_t kHexDigits = 16;
constexpr unsigned kBitsPerHexDigit = 4;

std::string Hex(std::uint64_t value) {
  std::string text(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i-- > 0;) {
    text[i] = "0123456789abcdef"[value & 0xf];
    value >>= kBitsPerHexDigit;
  }
  return text;
}

// Letters that depend on the request, so that a mixture of two answers does
// not pass.
std::string PaddingFor(std::string_view request_id, std::size_t bytes) {
  constexpr std::uint64_t kLetters = 26;
  std::string padding(bytes, 'a');
  std::uint64_t state = StableHash(request_id);
  for (char& letter : padding) {
    state += kGoldenGamma;
    letter = static_cast<char>('a' + (state >> 32) % kLetters);
  }
  return padding;
}

}  // namespace

std::string MakeAnswerBody(std::string_view request_id,
                           std::string_view request_body,
                           std::size_t padding_bytes) {
  std::string body(request_id);
  body += '\n';
  body += Hex(StableHash(request_body));
  body += '\n';
  body += PaddingFor(request_id, padding_bytes);
  body += '\n';
  body += Hex(StableHash(body));
  return body;
}

body_verdict CheckAnswerBody(std::string_view body,
                             std::string_view request_id,
                             std::string_view request_body) {
  if (body.size() < kHexDigits) {
    return body_verdict::kPartial;
  }
  const std::string_view content = body.substr(0, body.size() - kHexDigits);
  if (Hex(StableHash(content)) != body.substr(content.size())) {
    return body_verdict::kPartial;
  }
  std::string expected_start(request_id);
  expected_start += '\n';
  expected_start += Hex(StableHash(request_body));
  expected_start += '\n';
  return content.starts_with(expected_start) ? body_verdict::kWhole
                                             : body_verdict::kForeign;
}

}  // namespace auburnfold
