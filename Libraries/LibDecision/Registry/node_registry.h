#ifndef LIBDECISION_REGISTRY_NODE_REGISTRY_H_
#define LIBDECISION_REGISTRY_NODE_REGISTRY_H_

#include <map>
#include <optional>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Quarantine/quarantine.h"
#include "LibDecision/Registry/registration.h"
#include "LibDecision/Store/ignored_entries.h"
#include "LibDecision/Store/prefix_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"

namespace auburnfold {

/// Service discovery through leased keys in the key-value store: publishes this
/// node's record and watches those of the others.
///
/// While the store is unavailable, the members stay as they are. The expiry of
/// a record only shows that its node did not reach the store: the node remains
/// a member as long as it answers calls.
class node_registry {
 public:
  node_registry(membership& members, quarantine& request_quarantine);

  void Start(event_context& context);
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  /// The store has lost writes and may hold older records.
  void OnStoreEraChanged(event_context& context);
  /// A call of the store has succeeded after one that has not.
  void OnStoreRegained(event_context& context);
  void OnTimer(event_context& context, timer_owner owner);
  /// No requests are left. The process exits soon.
  void OnStopped(event_context& context);
  /// Publishes this node's record if it has changed. Called at the end of each
  /// event.
  void PublishChanges(event_context& context);

  /// Removes the members whose leases have expired and which have not answered
  /// a call recently according to `answered_at`.
  template <class last_answer>
  void RemoveLapsed(event_context& context, const last_answer& answered_at) {
    std::vector<node_id> silent_nodes;
    for (const auto& [node, since] : lapsed_since_) {
      if (IsSilent(context.now(), since, answered_at(node))) {
        silent_nodes.push_back(node);
      }
    }
    for (const node_id node : silent_nodes) {
      RemoveMember(context, node);
    }
    ScheduleLapseCheck(context);
  }

  /// Adds the members that another node knows, unless this node has listed the
  /// registry itself.
  void OnPeerView(event_context& context,
                  const std::vector<member_record>& records);

  /// Whether the first listing held a record of an earlier run of this node. It
  /// then holds those of the other nodes, too, even if all of them restart.
  bool lists_earlier_run() const { return lists_earlier_run_; }
  /// The record that an earlier run of this node left in the registry, or in
  /// the view of another node; null if none is known.
  const member_record* earlier_record() const {
    return earlier_record_ ? &*earlier_record_ : nullptr;
  }
  /// Whether the registry holds this node's record as it is.
  bool is_record_stored() const {
    return published_ == members_.self() && registration_.is_stored();
  }
  /// Whether this node has listed the registry.
  bool is_listed() const { return watch_.is_listed(); }
  /// Whether the last call to the key-value store failed.
  bool is_store_unavailable() const { return watch_.is_failing(); }

 private:
  /// Whether the store holds a record that is older than the local copy.
  bool IsOutdated(const member_record& record) const;
  static bool IsSilent(instant now, instant lapsed_at, instant answered_at);
  void ApplyEntry(event_context& context, const store_entry& entry);
  void ApplyRemoval(event_context& context, const std::string& key);
  /// Handles an entry that names no node: it is logged, and the node that its
  /// key belongs to has no record.
  void IgnoreEntry(event_context& context, const unreadable_entry& entry);
  void OnKeyRemoved(event_context& context, node_id node);
  void NoteFirstListing(const std::vector<store_entry>& listed);
  void MarkUnlistedAsLapsed(event_context& context,
                            const prefix_update& update);
  void RemoveMember(event_context& context, node_id node);
  void ScheduleLapseCheck(event_context& context);

  membership& members_;
  quarantine& quarantine_;
  prefix_watch watch_;
  registration registration_;
  ignored_entries ignored_;
  member_record published_;
  std::optional<member_record> earlier_record_;
  std::map<node_id, instant> lapsed_since_;
  /// The next listing may contain records that the store held before.
  bool lists_earlier_run_ = false;
  bool is_first_listing_ = true;
  bool may_list_older_records_ = false;
  bool is_stopped_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_REGISTRY_NODE_REGISTRY_H_
