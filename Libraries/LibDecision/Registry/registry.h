#ifndef LIBDECISION_REGISTRY_REGISTRY_H_
#define LIBDECISION_REGISTRY_REGISTRY_H_

#include <map>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Registry/registration.h"
#include "LibDecision/Store/prefix_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// Tells the members of each other through leased keys in the key-value
/// service: publishes this node's record and follows those of the others.
///
/// While the service is away the members stay as they were. A record that
/// lapses says only that its node did not reach the service: the node stays a
/// member as long as it answers calls.
class registry {
 public:
  explicit registry(membership& members);

  void Start(step& now);
  void OnStoreAnswered(step& now, const store_answered& answer);
  void OnTimer(step& now, timer_owner owner);
  /// The process ends.
  void OnStopped(step& now) { own_.Withdraw(now); }
  /// Publishes the own record if it has changed. Called last in every step.
  void PublishChanges(step& now);

  /// Drops the lapsed members that `answered_at` tells nothing recent of.
  template <class last_answer>
  void DropLapsed(step& now, const last_answer& answered_at) {
    std::vector<node_id> dropped;
    for (const auto& [node, since] : lapsed_) {
      if (IsSilent(now.now(), since, answered_at(node))) {
        dropped.push_back(node);
      }
    }
    for (const node_id node : dropped) {
      Drop(now, node);
    }
    WatchLapsed(now);
  }

  /// Takes the members that another node knows, while none were listed here.
  void OnToldBy(step& now, const std::vector<member_record>& known);

  /// The records of the others are known.
  bool is_listed() const { return watch_.is_listed(); }
  /// The key-value service does not answer.
  bool is_store_missing() const { return watch_.is_failing(); }

 private:
  static bool IsSilent(instant now, instant lapsed, instant answered);
  void Take(step& now, const store_entry& entry);
  void OnRemoved(step& now, node_id node);
  void LapseUnlisted(step& now, const std::vector<store_entry>& listed);
  void Drop(step& now, node_id node);
  void WatchLapsed(step& now);

  membership& members_;
  prefix_watch watch_;
  registration own_;
  member_record published_;
  std::map<node_id, instant> lapsed_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_REGISTRY_REGISTRY_H_
