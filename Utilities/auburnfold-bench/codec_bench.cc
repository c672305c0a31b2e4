// The cost of control messages: bytes, and time to write and read them.
#include <benchmark/benchmark.h>

#include <string>

#include "LibWire/cbor_codec.h"
#include "LibWire/json_codec.h"

namespace auburnfold {
namespace {

peer_message UpdateOf(std::int64_t records) {
  member_update update;
  for (std::int64_t i = 0; i < records; ++i) {
    member_record record;
    record.node = node_id(0x9e3779b97f4a7c15 * static_cast<std::uint64_t>(i));
    record.run = incarnation(1764800000000000);
    record.version = 3;
    record.address = {"10.20.30.40", 7002, 7003};
    record.domain = domain_name("cardiff-a");
    record.service = service_name("listings");
    update.records.push_back(record);
  }
  return {node_id(1),
          incarnation(1764800000000000),
          {"10.20.30.41", 7002, 7003},
          update};
}

template <class codec>
void BM_Encode(benchmark::State& state) {
  const peer_message message = UpdateOf(state.range(0));
  std::size_t size = 0;
  for (auto _ : state) {
    const wire_bytes bytes = codec::Encode(message);
    size = bytes.size();
    benchmark::DoNotOptimize(bytes.data());
  }
  state.counters["bytes"] = static_cast<double>(size);
}

template <class codec>
void BM_Decode(benchmark::State& state) {
  const wire_bytes bytes = codec::Encode(UpdateOf(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(codec::Decode(bytes));
  }
}

constexpr std::int64_t kOneRecord = 1;
constexpr std::int64_t kManyRecords = 64;

BENCHMARK(BM_Encode<cbor_codec>)->Arg(kOneRecord)->Arg(kManyRecords);
BENCHMARK(BM_Decode<cbor_codec>)->Arg(kOneRecord)->Arg(kManyRecords);
BENCHMARK(BM_Encode<json_codec>)->Arg(kOneRecord)->Arg(kManyRecords);
BENCHMARK(BM_Decode<json_codec>)->Arg(kOneRecord)->Arg(kManyRecords);

}  // namespace
}  // namespace auburnfold
