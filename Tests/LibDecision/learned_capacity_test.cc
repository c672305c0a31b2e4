// Endpoints of one service that differ in what they take well, loaded at a
// steady rate by nodes that place requests by learned capacity or by today's
// choice. "Ideal" knows all traits: each slot below the knee works all the
// time.

#include <gtest/gtest.h>

#include "uneven_endpoints.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr duration kWork = 100ms;
constexpr double kWorkSeconds = 0.1;
/// The limit that follows from 35 announced slots.
constexpr std::uint32_t kAnnouncedLimit = 33;

struct comparison {
  uneven_endpoints::result learned;
  uneven_endpoints::result today;
};

double ServedFraction(const uneven_endpoints::result& result) {
  return static_cast<double>(result.served) /
         static_cast<double>(result.offered);
}

// Sends `load` of the ideal rate; only what follows `warm_up` counts.
comparison Compare(const std::vector<endpoint_traits>& traits,
                   double load,
                   duration warm_up,
                   duration length) {
  const auto run = [&](bool plans) {
    uneven_endpoints endpoints(traits, plans);
    const double rate = endpoints.IdealRate(kWork) * load;
    endpoints.Send(rate, kWork, warm_up);
    return endpoints.Send(rate, kWork, length);
  };
  return {run(true), run(false)};
}

// Speeds 0.5 to 1.6, slower by 1.3 when nearly full, and a seventh of the time
// 2.5 times slower by turns.
std::vector<endpoint_traits> UnevenSpeeds() {
  std::vector<endpoint_traits> traits;
  for (const double speed : {0.5, 1.0, 1.0, 1.6, 0.5, 1.0, 1.0, 1.6}) {
    traits.push_back(
        {.speed = speed, .knee = 0.95, .knee_factor = 1.3, .noise = 0.15});
  }
  return traits;
}

TEST(endpoints_of_uneven_speed, AreFilledEvenlyBeforeAnyIsFull) {
  const comparison result = Compare(UnevenSpeeds(), 0.8, 5s, 20s);
  EXPECT_LT(result.learned.spread(), 0.2);
  EXPECT_GT(result.today.spread(), 0.35);
  EXPECT_GT(ServedFraction(result.learned), 0.99);
  EXPECT_LT(result.learned.mean_ms, 1.05 * result.today.mean_ms);
}

TEST(endpoints_of_uneven_speed, RefuseLessNearTheIdealRate) {
  const comparison result = Compare(UnevenSpeeds(), 0.95, 5s, 20s);
  EXPECT_GT(ServedFraction(result.learned), 0.98);
  EXPECT_LT(static_cast<double>(result.learned.refused),
            0.9 * static_cast<double>(result.today.refused));
  EXPECT_LT(result.learned.spread(), 0.5 * result.today.spread());
}

TEST(endpoints_of_uneven_speed, GiveTheFastOnesFirstWhileThereIsRoom) {
  const comparison result = Compare(UnevenSpeeds(), 0.5, 5s, 20s);
  EXPECT_LT(result.learned.mean_ms, result.today.mean_ms);
}

TEST(endpoints_with_a_knee, AreKeptBelowItUnderOverload) {
  const std::vector<endpoint_traits> traits(4,
                                            {.knee = 0.7, .knee_factor = 1.8});
  const comparison result = Compare(traits, 1.2, 15s, 10s);
  EXPECT_LT(result.learned.mean_ms, 0.8 * result.today.mean_ms);
  EXPECT_GT(result.learned.served, result.today.served);
}

TEST(an_endpoint_that_slows_down_tenfold, IsLeftAloneAndFoundAgain) {
  uneven_endpoints endpoints(std::vector<endpoint_traits>(4), true);
  const double rate = 0.7 * endpoints.IdealRate(kWork);
  endpoints.Send(rate, kWork, 3s);
  endpoints.traits(0).slowdown = 10;
  endpoints.Send(rate, kWork, 1s);
  // Three endpoints can do 0.75 of the ideal.
  EXPECT_GT(ServedFraction(endpoints.Send(rate, kWork, 3s)), 0.9);
  endpoints.traits(0).slowdown = 1;
  endpoints.Send(rate, kWork, 3s);
  const auto after = endpoints.Send(rate, kWork, 2s);
  EXPECT_GT(ServedFraction(after), 0.98);
  EXPECT_LT(after.spread(), 0.2);
}

TEST(an_endpoint_with_fewer_slots_than_announced, DoesNotHoldUpCallers) {
  std::vector<endpoint_traits> traits(4);
  traits[0].slots = 18;
  const comparison result = Compare(traits, 0.9, 5s, 15s);
  EXPECT_GT(ServedFraction(result.learned), 0.97);
  EXPECT_LE(result.learned.mean_ms, 1.05 * result.today.mean_ms);
}

// The announced number is an upper hint, so the ideal is what it allows.
TEST(an_endpoint_with_more_slots_than_announced, IsUsedAsAnnounced) {
  std::vector<endpoint_traits> traits(4);
  traits[0].announced = 18;
  uneven_endpoints endpoints(traits, true);
  const double allowed = (3 * 33 + 17) / kWorkSeconds;
  EXPECT_GT(ServedFraction(endpoints.Send(0.9 * allowed, kWork, 20s)), 0.97);
  EXPECT_LE(endpoints.limit(0), 17U);
}

TEST(cold_endpoints, ServeAsMuchAsToday) {
  const std::vector<endpoint_traits> traits(4, {.cold_for = 3s});
  const comparison cold = Compare(traits, 0.8, 0s, 4s);
  EXPECT_GT(static_cast<double>(cold.learned.served),
            0.95 * static_cast<double>(cold.today.served));
  const comparison warm = Compare(traits, 0.8, 6s, 4s);
  EXPECT_GT(ServedFraction(warm.learned), 0.98);
}

TEST(refusals_at_random, DoNotReduceTheLimit) {
  uneven_endpoints endpoints(
      std::vector<endpoint_traits>(4, {.refused_fraction = 0.2}), true);
  const auto result =
      endpoints.Send(1.3 * endpoints.IdealRate(kWork), kWork, 10s);
  EXPECT_GT(static_cast<double>(result.served),
            0.95 * 10 * endpoints.IdealRate(kWork));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(endpoints.limit(i), kAnnouncedLimit);
  }
}

}  // namespace
}  // namespace auburnfold
