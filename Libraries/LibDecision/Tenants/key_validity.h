#ifndef LIBDECISION_TENANTS_KEY_VALIDITY_H_
#define LIBDECISION_TENANTS_KEY_VALIDITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/store_call_id_generator.h"

namespace auburnfold {

/// Tells whether the API keys in the routes in force still hold: an API key is
/// valid if it can only have been removed within the last `validity`. All
/// instants are on the clock of `event_context::elapsed_now`.
class key_validity {
 public:
  /// API keys are always valid if `validity` is zero.
  key_validity(duration validity, std::string route_key);

  /// Whether the routes in force may be those of an older copy of the key-value
  /// store: this node has just started, or its confirmation was too old when
  /// the store's era changed. No API key is valid meanwhile.
  bool needs_proof() const { return is_active_ && !is_proven_; }
  bool has_proof() const { return is_active_ && is_proven_; }
  /// Looks for proof that the routes in force are the newest. `newest` is the
  /// newest version that records of the store's present era name; unset if none
  /// names one. Without such a record, no node is assumed to have newer routes
  /// once all had time to write theirs.
  void Prove(event_context& context,
             std::optional<route_version> newest,
             std::optional<route_version> in_force);
  /// The store has come back from an older copy.
  void OnStoreEraChanged(event_context& context);

  /// Whether the API keys in force are valid. Reads the routes if they are not.
  bool IsValid(event_context& context);
  /// How long before `when` it was certain that no routes existed that are
  /// newer than those in force; negative if it was certain later. Unset if it
  /// is not known.
  std::optional<duration> ConfirmedBefore(instant when) const;

  void OnRoutesTaken(event_context& context, bool has_tenants);
  /// At `when`, no routes existed that are newer than those in force.
  void OnConfirmed(event_context& context, instant when);
  /// Another node that uses the same routes answers an attempt that was sent at
  /// `sent_at`; `age` is its `answer_metadata::routes_confirmed_age`.
  void OnPeerConfirmed(event_context& context, instant sent_at, duration age);
  /// `value_in_force` is the value that the routes in force were decoded from.
  void OnStoreAnswered(event_context& context,
                       const store_answered& answer,
                       const std::string& value_in_force);
  /// `is_watch_failing`: the watch of the routes repeats a listing that fails.
  void OnTimer(event_context& context, bool is_watch_failing);
  /// The number of nodes that keep each other informed.
  void set_node_count(std::size_t node_count) { node_count_ = node_count; }

 private:
  void SetProven(event_context& context);
  void Confirm(event_context& context, instant when);
  /// Whether the store has shown the routes in force, and only the proof is
  /// missing, which another read does not give.
  bool IsAwaitingProof() const {
    return !is_proven_ && first_unproven_read_at_;
  }
  void Read(event_context& context);
  void ScheduleRead(event_context& context);
  void ScheduleRetry(event_context& context);
  /// Chooses how old the last confirmation may become before this node reads
  /// the routes.
  duration ChooseReadAge(event_context& context) const;
  void SetLost(event_context& context, bool is_lost);

  duration validity_;
  std::string route_key_;
  store_call_id_generator call_ids_{store_caller::kKeyValidity};
  bool is_active_ = false;
  bool is_lost_ = false;
  bool is_proven_ = false;
  /// The first and the last read of the store that showed the routes in force
  /// while they were not proven.
  std::optional<instant> first_unproven_read_at_;
  instant last_unproven_read_at_{};
  /// The newest version that records have named in the store's present era.
  std::optional<route_version> newest_recorded_;
  std::optional<instant> confirmed_at_;
  instant routes_taken_at_{};
  duration read_age_{};
  /// The confirmation for which `read_age_` was chosen.
  std::optional<instant> read_age_chosen_for_;
  std::optional<store_call_id> read_call_;
  instant read_sent_at_{};
  std::uint32_t failures_ = 0;
  std::size_t node_count_ = 1;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TENANTS_KEY_VALIDITY_H_
