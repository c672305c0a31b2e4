#ifndef TESTS_FUZZ_FUZZ_TARGETS_H_
#define TESTS_FUZZ_FUZZ_TARGETS_H_

#include <cstdint>
#include <span>

namespace auburnfold::fuzz {

using input = std::span<const std::uint8_t>;

/// Each target decodes any bytes whatever and aborts if a property of the
/// decoder does not hold.

/// An idempotency key is read only if it is exactly what was once written.
void Key(input bytes);
/// A control message that was read is written and read again unchanged.
void Message(input bytes);
/// A settings file is read or refused.
void Settings(input bytes);
/// A report of an endpoint is read or refused.
void Report(input bytes);
/// A node's record in the registry is read only if it is written and read again
/// unchanged.
void Record(input bytes);
/// So is a record of a crash.
void Crash(input bytes);
/// The view of another node is read or refused, and given on unchanged.
void View(input bytes);
/// A report of the use of quotas is read or refused, and written again.
void Quota(input bytes);
/// Headers of callers and nodes are read or refused; an answer that does not
/// say how it ended is neither whole nor "not run".
void Headers(input bytes);
/// A stream of requests, cut into segments, is the same requests in the same
/// order as if it came at once, or is rejected behind the same ones.
void Requests(input bytes);
/// So is the response to a request.
void Responses(input bytes);

}  // namespace auburnfold::fuzz

#endif  // TESTS_FUZZ_FUZZ_TARGETS_H_
