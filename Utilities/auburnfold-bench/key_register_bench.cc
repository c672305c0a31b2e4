#include <benchmark/benchmark.h>
#include <malloc.h>

#include <vector>

#include "LibDecision/Idempotency/idempotency_key_registry.h"

namespace auburnfold {
namespace {

constexpr std::size_t kKeys = 1000;

request_metadata Booking() {
  request_metadata metadata;
  metadata.service = service_name("bookings");
  metadata.request_class = class_name("book");
  metadata.tenant = tenant_name("parkwiese");
  return metadata;
}

std::size_t BytesInUse() {
  return mallinfo2().uordblks;
}

// The whole life of one key: issued, used, remembered, replayed.
void LifeOfAKey(benchmark::State& state) {
  timer_service timers;
  idempotency_key_registry keys;
  keys.Start(node_id(1), incarnation(2));
  instant now{};
  std::uint64_t work = 0;
  request_metadata metadata = Booking();
  for (auto _ : state) {
    now += kKeyLifetime / kKeys;
    event_context step_now(now, ++work, timers);
    metadata.key = keys.Issue(step_now, metadata);
    keys.OnWork(step_now, metadata, work_id(work));
    keys.OnFinished(step_now, *metadata.key, work_id(work), {.body_size = 64});
    benchmark::DoNotOptimize(
        keys.OnWork(step_now, metadata, work_id(work + 1)));
  }
}
BENCHMARK(LifeOfAKey);

// A resend of one of many remembered keys.
void Replay(benchmark::State& state) {
  timer_service timers;
  idempotency_key_registry keys;
  keys.Start(node_id(1), incarnation(2));
  std::vector<request_metadata> sends(kKeys, Booking());
  for (std::size_t i = 0; i < kKeys; ++i) {
    event_context context(instant(), i, timers);
    sends[i].key = keys.Issue(context, sends[i]);
    keys.OnWork(context, sends[i], work_id(i));
    keys.OnFinished(context, *sends[i].key, work_id(i), {.body_size = 64});
  }
  std::size_t next = 0;
  for (auto _ : state) {
    event_context context(instant(), 1, timers);
    benchmark::DoNotOptimize(
        keys.OnWork(context, sends[next++ % kKeys], work_id(kKeys)));
  }
}
BENCHMARK(Replay);

// What the register itself keeps for 1,000 keys, without the answers.
void MemoryOf1000Keys(benchmark::State& state) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    timer_service timers;
    const std::size_t before = BytesInUse();
    idempotency_key_registry keys;
    keys.Start(node_id(1), incarnation(2));
    request_metadata metadata = Booking();
    for (std::size_t i = 0; i < kKeys; ++i) {
      event_context context(instant(), i, timers);
      metadata.key = keys.Issue(context, metadata);
      keys.OnWork(context, metadata, work_id(i));
    }
    metadata.key.reset();
    bytes = BytesInUse() - before;
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(MemoryOf1000Keys);

}  // namespace
}  // namespace auburnfold
