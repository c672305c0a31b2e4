#include "LibDecision/Quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

// A crash without other suspects says more, but an endpoint may also crash for
// another reason while one request happens to be at work.
constexpr std::size_t kCrashesToQuarantine = 3;
constexpr std::size_t kCrashesAloneToQuarantine = 2;
constexpr std::size_t kCrashesToIsolate = 2;
// Bounds of memory. An endpoint that runs more requests than this at once loses
// suspects.
constexpr std::size_t kMaxCrashes = 512;
constexpr std::size_t kMaxSuspects = 256;
constexpr std::size_t kMaxAnswered = 16384;
// With the largest records, a view that also holds routes stays well below the
// limit of a response.
constexpr std::size_t kMaxCrashesInView = 64;
// A request that was answered within this time is no suspect. Requests that
// come often enough are therefore never suspected.
constexpr duration kAnsweredPeriod = std::chrono::seconds(15);

bool Contains(const std::vector<request_digest>& suspects,
              request_digest digest) {
  return std::binary_search(suspects.begin(), suspects.end(), digest);
}

}  // namespace

bool crash_ledger::Add(instant now, const crash_record& record) {
  Expire(now);
  const instant expires_at =
      now + std::min<duration>(record.time_left, kCrashLifetime);
  const auto known = crashes_.find(record.id);
  if (known != crashes_.end()) {
    known->second.expires_at = std::max(known->second.expires_at, expires_at);
    std::vector<request_digest> cleared;
    std::set_difference(known->second.suspects.begin(),
                        known->second.suspects.end(), record.suspects.begin(),
                        record.suspects.end(), std::back_inserter(cleared));
    for (const request_digest digest : cleared) {
      RemoveSuspect(known->second, record.id, digest);
    }
    Judge({record.id});
    return !cleared.empty();
  }
  if (record.time_left <= duration::zero()) {
    return false;
  }
  MakeRoom();
  known_crash& added = crashes_[record.id];
  added.suspects = record.suspects;
  added.suspects.resize(std::min(added.suspects.size(), kMaxSuspects));
  added.expires_at = expires_at;
  for (const request_digest suspect : added.suspects) {
    suspected_of_[suspect].push_back(record.id);
  }
  checksum_ ^= MixBits(record.id.value());
  Judge({record.id});
  return true;
}

std::vector<crash_id> crash_ledger::OnAnswered(instant now,
                                               request_digest digest) {
  if (now - answered_since_ >= kAnsweredPeriod ||
      answered_.size() >= kMaxAnswered) {
    answered_before_ = std::exchange(answered_, {});
    answered_since_ = now;
  }
  answered_.insert(digest);
  const auto suspected = suspected_of_.find(digest);
  if (suspected == suspected_of_.end()) {
    return {};
  }
  std::vector<crash_id> cleared = suspected->second;
  for (const crash_id id : cleared) {
    RemoveSuspect(crashes_.at(id), id, digest);
  }
  on_probation_.erase(digest);
  Judge(cleared);
  return cleared;
}

std::vector<request_digest> crash_ledger::WithoutAnswered(
    std::vector<request_digest> suspects) const {
  std::erase_if(suspects, [this](request_digest digest) {
    return answered_.contains(digest) || answered_before_.contains(digest);
  });
  return suspects;
}

std::vector<crash_id> crash_ledger::Extend(instant now, request_digest digest) {
  std::vector<crash_id> extended;
  const auto suspected = suspected_of_.find(digest);
  if (suspected == suspected_of_.end()) {
    return extended;
  }
  for (const crash_id id : suspected->second) {
    known_crash& crash = crashes_.at(id);
    if (crash.expires_at - now < kCrashLifetime / 2) {
      crash.expires_at = now + kCrashLifetime;
      extended.push_back(id);
    }
  }
  return extended;
}

void crash_ledger::Expire(instant now) {
  for (auto crash = crashes_.begin(); crash != crashes_.end();) {
    crash = crash->second.expires_at <= now ? Erase(crash) : std::next(crash);
  }
  Release();
}

std::optional<instant> crash_ledger::next_expiry() const {
  std::optional<instant> next;
  for (const auto& [id, crash] : crashes_) {
    next = std::min(next.value_or(crash.expires_at), crash.expires_at);
  }
  return next;
}

void crash_ledger::Remove(crash_id crash) {
  const auto found = crashes_.find(crash);
  if (found != crashes_.end()) {
    Erase(found);
    Release();
  }
}

crash_verdict crash_ledger::VerdictOn(request_digest digest) const {
  if (!suspected_of_.contains(digest)) {
    return crash_verdict::kUnsuspected;
  }
  if (quarantined_.contains(digest)) {
    return crash_verdict::kQuarantined;
  }
  if (on_probation_.contains(digest)) {
    return crash_verdict::kIsolated;
  }
  const std::size_t crashes = EvidenceAgainst(digest).crashes;
  if (crashes == 0) {
    return crash_verdict::kUnsuspected;
  }
  return crashes >= kCrashesToIsolate ? crash_verdict::kIsolated
                                      : crash_verdict::kSuspected;
}

std::vector<crash_record> crash_ledger::Records(instant now) const {
  std::vector<crash_record> records;
  for (const auto& [id, crash] : crashes_) {
    records.push_back({id, crash.suspects, crash.expires_at - now});
  }
  return records;
}

std::vector<crash_record> crash_ledger::RecordsForView(instant now) const {
  std::vector<crash_record> records = Records(now);
  if (records.size() <= kMaxCrashesInView) {
    return records;
  }
  std::partial_sort(
      records.begin(), records.begin() + kMaxCrashesInView, records.end(),
      [this](const crash_record& left, const crash_record& right) {
        return std::pair(Convicts(crashes_.at(left.id)), left.time_left) >
               std::pair(Convicts(crashes_.at(right.id)), right.time_left);
      });
  records.resize(kMaxCrashesInView);
  return records;
}

crash_record crash_ledger::RecordOf(instant now, crash_id crash) const {
  const auto found = crashes_.find(crash);
  if (found == crashes_.end()) {
    return {.id = crash};
  }
  return {crash, found->second.suspects, found->second.expires_at - now};
}

// A flood of crashes must not push out those that convict a request.
void crash_ledger::MakeRoom() {
  if (crashes_.size() < kMaxCrashes) {
    return;
  }
  const auto first = std::min_element(
      crashes_.begin(), crashes_.end(),
      [this](const auto& left, const auto& right) {
        return std::pair(Convicts(left.second), left.second.expires_at) <
               std::pair(Convicts(right.second), right.second.expires_at);
      });
  Erase(first);
}

bool crash_ledger::Convicts(const known_crash& crash) const {
  return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                     [this](request_digest suspect) {
                       return quarantined_.contains(suspect);
                     });
}

crash_ledger::crash_map::iterator crash_ledger::Erase(
    crash_map::iterator crash) {
  for (const request_digest suspect : crash->second.suspects) {
    const auto suspected = suspected_of_.find(suspect);
    std::erase(suspected->second, crash->first);
    if (suspected->second.empty()) {
      suspected_of_.erase(suspected);
    }
  }
  checksum_ ^= MixBits(crash->first.value());
  return crashes_.erase(crash);
}

void crash_ledger::RemoveSuspect(known_crash& crash,
                                 crash_id id,
                                 request_digest digest) {
  std::erase(crash.suspects, digest);
  const auto suspected = suspected_of_.find(digest);
  std::erase(suspected->second, id);
  if (suspected->second.empty()) {
    suspected_of_.erase(suspected);
  }
}

void crash_ledger::Judge(const std::vector<crash_id>& changed) {
  Release();
  for (const crash_id id : changed) {
    for (const request_digest suspect : crashes_.at(id).suspects) {
      QuarantineIfConvicted(suspect);
    }
  }
}

void crash_ledger::QuarantineIfConvicted(request_digest digest) {
  if (!quarantined_.contains(digest) && IsConvicted(digest)) {
    quarantined_.insert(digest);
    Release();
  }
}

// The crashes that led to a quarantine may be explained by another request that
// was found out later. A request that was answered is a suspect of none.
void crash_ledger::Release() {
  std::erase_if(quarantined_, [this](request_digest digest) {
    const evidence against = EvidenceAgainst(digest);
    const bool is_supported =
        against.crashes >= kCrashesToQuarantine ||
        against.crashes_alone >= kCrashesAloneToQuarantine ||
        HasCrashedOnProbation(digest, against);
    if (!is_supported && suspected_of_.contains(digest)) {
      on_probation_[digest] = against.crashes;
    }
    return !is_supported;
  });
  std::erase_if(on_probation_, [this](const auto& entry) {
    return !suspected_of_.contains(entry.first);
  });
}

bool crash_ledger::IsConvicted(request_digest digest) const {
  const evidence against = EvidenceAgainst(digest);
  return against.crashes_alone >= kCrashesAloneToQuarantine ||
         (against.crashes >= kCrashesToQuarantine && IsSoleCulprit(digest)) ||
         HasCrashedOnProbation(digest, against);
}

bool crash_ledger::HasCrashedOnProbation(request_digest digest,
                                         const evidence& against) const {
  const auto found = on_probation_.find(digest);
  return found != on_probation_.end() && against.crashes > found->second;
}

bool crash_ledger::IsSoleCulprit(request_digest digest) const {
  const std::size_t crashes = EvidenceAgainst(digest).crashes;
  const std::vector<crash_id>& suspected = suspected_of_.at(digest);
  return std::none_of(suspected.begin(), suspected.end(), [&](crash_id id) {
    const known_crash& crash = crashes_.at(id);
    return !IsExplained(crash, digest) &&
           std::any_of(crash.suspects.begin(), crash.suspects.end(),
                       [&](request_digest other) {
                         return other != digest &&
                                EvidenceAgainst(other).crashes >= crashes;
                       });
  });
}

bool crash_ledger::IsExplained(const known_crash& crash,
                               request_digest digest) const {
  return std::any_of(
      quarantined_.begin(), quarantined_.end(), [&](request_digest culprit) {
        return culprit != digest && Contains(crash.suspects, culprit);
      });
}

crash_ledger::evidence crash_ledger::EvidenceAgainst(
    request_digest digest) const {
  evidence against;
  const auto suspected = suspected_of_.find(digest);
  if (suspected == suspected_of_.end()) {
    return against;
  }
  for (const crash_id id : suspected->second) {
    const known_crash& crash = crashes_.at(id);
    if (!IsExplained(crash, digest)) {
      ++against.crashes;
      against.crashes_alone += crash.suspects.size() == 1 ? 1 : 0;
    }
  }
  return against;
}

}  // namespace auburnfold
