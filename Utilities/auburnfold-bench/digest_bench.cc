// The cost of the digest that identifies a request.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "LibRuntime/Requests/request_digest.h"

namespace auburnfold {
namespace {

constexpr int kHttp11 = 11;
constexpr std::int64_t kNoBody = 0;
constexpr std::int64_t kSmallBody = 300;
constexpr std::int64_t kLargeBody = std::int64_t{1024} * 1024;

void BM_DigestOf(benchmark::State& state) {
  http_request request(http::verb::post, "/leny950/2f?x=1", kHttp11);
  request.body() = std::string(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    benchmark::DoNotOptimize(DigestOf(request, "hulo84.example\nhuvo11a"));
  }
}

BENCHMARK(BM_DigestOf)->Arg(kNoBody)->Arg(kSmallBody)->Arg(kLargeBody);

}  // namespace
}  // namespace auburnfold
