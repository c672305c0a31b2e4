#ifndef TESTS_LIBDECISION_LEASED_STORE_H_
#define TESTS_LIBDECISION_LEASED_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/instant.h"
#include "LibDecision/store_call.h"

namespace auburnfold {

/// How the store treats calls during an outage.
enum class outage_kind : std::uint8_t {
  kRefuses,  ///< New calls fail at once, and waiting watches are cut.
  kSilent,   ///< New calls and waiting watches are never answered.
  kPaused,   ///< New calls fail at once; watches wait on across the outage.
};

/// The key-value store on virtual time, with histories that can be lost. It
/// answers through `reply`, or not at all.
class leased_store {
 public:
  using reply_function = std::function<void(const store_result&)>;

  explicit leased_store(std::string route_key)
      : route_key_(std::move(route_key)) {}

  void Call(instant now, const store_request& request, reply_function reply);
  /// Ends watches that have waited for as long as they asked.
  void Pass(instant now);

  /// The operator writes a version, and writes it again if the store loses it.
  void WriteRoutes(const std::string& value);
  void BeginOutage(outage_kind kind);
  /// `writes_lost` of the last writes are gone, with all leases, and the era
  /// rises if there are any.
  void EndOutage(std::uint64_t writes_lost);
  /// Writes under keys that nobody watches.
  void WriteElsewhere(int count);
  /// Restores what the operator wrote last.
  void RewriteRoutes() { WriteRoutes(operator_value_); }
  /// All connections that are open now receive nothing any more.
  void SilenceConnections();
  /// Watches hear nothing until `ForgetHistory`.
  void DeafenWatches() { is_deaf_ = true; }
  /// Cuts all watches; what was written until now is no longer reported.
  void ForgetHistory();

  std::uint64_t revision() const { return revision_; }
  bool is_down() const { return outage_.has_value(); }

 private:
  struct waiting_watch {
    store_watch wanted;
    reply_function reply;
    instant ends_at;
    /// Set if its connection has gone silent.
    std::optional<instant> silent_since;
  };
  struct change {
    store_entry entry;
    std::uint64_t revision = 0;
  };

  store_result Write(const store_compare_and_swap& write);
  void Put(const store_entry& entry);
  store_result Listing(const std::string& prefix) const;
  std::vector<store_entry> ChangesAfter(const store_watch& wanted) const;
  void WakeWatches();
  void CutWatches();
  store_result Finish(store_result result) const;

  std::string route_key_;
  std::string operator_value_;
  std::map<std::string, store_entry> entries_;
  std::vector<change> changes_;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_revision_ = 0;
  std::uint64_t era_ = 1;
  std::uint64_t next_lease_ = 1;
  std::uint64_t oldest_lease_ = 1;
  std::optional<outage_kind> outage_;
  instant now_{};
  bool is_deaf_ = false;
  std::vector<waiting_watch> watches_;
};

}  // namespace auburnfold

#endif  // TESTS_LIBDECISION_LEASED_STORE_H_
