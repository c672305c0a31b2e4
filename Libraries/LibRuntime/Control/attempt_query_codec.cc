#include "LibRuntime/Control/attempt_query_codec.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "LibRuntime/Control/json_field_reader.h"

namespace auburnfold {

namespace json = boost::json;

namespace {

/// More than a node asks about at once; bounds the work for one message.
constexpr std::size_t kMaxAttempts = 1000;
/// A longer time says no more than that the answer is not on its way.
constexpr duration kMaxAnsweredAgo = std::chrono::seconds(60);

// A state that only a later version knows says nothing to this one.
attempt_state ReadState(std::string_view name) {
  constexpr std::array kStates = {attempt_state::kNeverArrived,
                                  attempt_state::kAtWork,
                                  attempt_state::kAnswered};
  const auto* const found = std::find_if(
      kStates.begin(), kStates.end(),
      [name](attempt_state state) { return NameOf(state) == name; });
  return found == kStates.end() ? attempt_state::kUnknown : *found;
}

attempt_id ReadAttempt(json_field_reader& fields) {
  return attempt_id(fields.Number("attempt"));
}

attempt_report ReadReport(json_field_reader& fields) {
  return {.attempt = ReadAttempt(fields),
          .state = ReadState(fields.Text("state")),
          .answered_ago = fields.Delay("answeredAgoMs")};
}

}  // namespace

std::string EncodeAttemptQuery(const attempt_query& query) {
  json::array attempts;
  for (const attempt_id attempt : query.attempts) {
    attempts.push_back(json::object{{"attempt", attempt.value()}});
  }
  return json::serialize(
      json::object{{"node", query.from.value()},
                   {"run", query.from_run.value()},
                   {"expectedRun", query.expected_run.value()},
                   {"attempts", std::move(attempts)}});
}

std::string EncodeAttemptReports(const std::vector<attempt_report>& reports) {
  json::array attempts;
  for (const attempt_report& report : reports) {
    const duration answered_ago =
        std::min(report.answered_ago, kMaxAnsweredAgo);
    attempts.push_back(
        json::object{{"attempt", report.attempt.value()},
                     {"state", NameOf(report.state)},
                     {"answeredAgoMs", ToMillisecondsRoundedUp(answered_ago)}});
  }
  return json::serialize(json::object{{"attempts", std::move(attempts)}});
}

std::optional<attempt_query> DecodeAttemptQuery(std::string_view text) {
  const json::value parsed = ParseJson(text);
  json_field_reader fields(parsed);
  attempt_query query{
      .from = node_id(fields.Number("node")),
      .from_run = incarnation(fields.Number("run")),
      .expected_run = incarnation(fields.Number("expectedRun"))};
  auto attempts = ReadAll(fields.Array("attempts"), kMaxAttempts, ReadAttempt);
  if (!fields.is_valid() || !attempts) {
    return std::nullopt;
  }
  query.attempts = *std::move(attempts);
  return query;
}

std::optional<std::vector<attempt_report>> DecodeAttemptReports(
    std::string_view text) {
  const json::value parsed = ParseJson(text);
  json_field_reader fields(parsed);
  return ReadAll(fields.Array("attempts"), kMaxAttempts, ReadReport);
}

}  // namespace auburnfold
