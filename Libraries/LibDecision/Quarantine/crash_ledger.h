#ifndef LIBDECISION_QUARANTINE_CRASH_LEDGER_H_
#define LIBDECISION_QUARANTINE_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "LibDecision/Quarantine/crash_record.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// How long a crash counts. Counted anew while a request that it convicts keeps
/// coming.
inline constexpr duration kCrashLifetime = std::chrono::minutes(10);

/// What the known crashes say about a request.
enum class crash_verdict : std::uint8_t {
  kUnsuspected,
  kSuspected,   ///< At work during one crash.
  kIsolated,    ///< At work during several: runs beside no other such request.
  kQuarantined  ///< Crashes the endpoints that run it.
};

/// Decides from the crashes that all nodes have seen which requests cause them.
///
/// Every request at work during a crash is a suspect, so one that runs beside
/// the culprit by chance must be told from it. A run that ends with an answer
/// clears a request of the crashes before. Requests that were at work during
/// two crashes are kept apart, so that a third one has a single suspect among
/// them. A crash that a quarantined request explains counts against no other;
/// if a quarantine turns out to rest on such crashes, it ends, and the next
/// crash of that request begins it again.
class crash_ledger {
 public:
  /// Merges `record` with what is known of the same crash: a request stays a
  /// suspect only if both name it. Returns whether that has changed anything.
  bool Add(instant now, const crash_record& record);
  /// The request has run and was answered. Returns the crashes that it was a
  /// suspect of.
  std::vector<crash_id> OnAnswered(instant now, request_digest digest);
  /// Without the requests that were answered lately.
  std::vector<request_digest> WithoutAnswered(
      std::vector<request_digest> suspects) const;
  /// Counts the lifetime of the crashes that convict the request anew. Returns
  /// those for which half of it had passed.
  std::vector<crash_id> Extend(instant now, request_digest digest);
  /// Forgets the crashes whose lifetime is over.
  void Expire(instant now);
  /// When the next lifetime is over; unset if no crash is known.
  std::optional<instant> next_expiry() const;
  void Remove(crash_id crash);

  crash_verdict VerdictOn(request_digest digest) const;
  /// The requests in quarantine.
  const std::set<request_digest>& quarantined() const { return quarantined_; }
  std::vector<crash_record> Records(instant now) const;
  /// The records that matter most, as many as fit in a view.
  std::vector<crash_record> RecordsForView(instant now) const;
  /// The record of `crash`; without suspects and lifetime if it is not known.
  crash_record RecordOf(instant now, crash_id crash) const;
  /// The same at nodes that know the same crashes; 0 if there are none.
  std::uint64_t checksum() const { return checksum_; }

 private:
  struct known_crash {
    std::vector<request_digest> suspects;
    instant expires_at;
  };

  using crash_map = std::map<crash_id, known_crash>;
  /// Crashes that no other request in quarantine explains.
  struct evidence {
    std::size_t crashes = 0;
    /// Those with no other suspect.
    std::size_t crashes_alone = 0;
  };

  void MakeRoom();
  /// Whether a request in quarantine is a suspect of `crash`.
  bool Convicts(const known_crash& crash) const;
  crash_map::iterator Erase(crash_map::iterator crash);
  void RemoveSuspect(known_crash& crash, crash_id id, request_digest digest);
  /// Decides about the suspects of `changed`.
  void Judge(const std::vector<crash_id>& changed);
  void QuarantineIfConvicted(request_digest digest);
  /// Ends quarantines that the evidence no longer supports.
  void Release();
  bool IsConvicted(request_digest digest) const;
  bool HasCrashedOnProbation(request_digest digest,
                             const evidence& against) const;
  /// Whether no other suspect was at work during as many of the crashes.
  bool IsSoleCulprit(request_digest digest) const;
  /// Whether a quarantined request other than `digest` explains the crash.
  bool IsExplained(const known_crash& crash, request_digest digest) const;
  evidence EvidenceAgainst(request_digest digest) const;

  crash_map crashes_;
  /// The crashes that each request is a suspect of.
  std::unordered_map<request_digest, std::vector<crash_id>> suspected_of_;
  std::set<request_digest> quarantined_;
  /// Requests whose quarantine has ended without an answer, with the number of
  /// crashes that were left as evidence.
  std::map<request_digest, std::size_t> on_probation_;
  std::uint64_t checksum_ = 0;
  /// Requests that were answered since `answered_since_`, and in the period
  /// before.
  std::unordered_set<request_digest> answered_;
  std::unordered_set<request_digest> answered_before_;
  instant answered_since_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUARANTINE_CRASH_LEDGER_H_
