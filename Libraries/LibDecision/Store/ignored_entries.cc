#include "LibDecision/Store/ignored_entries.h"

#include <cstddef>

#include "LibDecision/text_words.h"

namespace auburnfold {

namespace {

// As many as a page of the store holds; more are logged at each listing.
constexpr std::size_t kMaxLogged = 512;
// Longest key of the store.
constexpr std::size_t kMaxKeyBytes = 200;

}  // namespace

void ignored_entries::Add(event_context& context,
                          const unreadable_entry& entry) {
  if (logged_.size() >= kMaxLogged) {
    logged_.clear();
  }
  const auto [logged, is_new] =
      logged_.emplace(entry.key.substr(0, kMaxKeyBytes), entry.revision);
  if (!is_new && logged->second == entry.revision) {
    return;
  }
  logged->second = entry.revision;
  context.Log({.kind = decision_kind::kStoreEntryIgnored,
               .revision = entry.revision,
               .entry = ignored_entry{ToPrintable(entry.key, kMaxKeyBytes),
                                      entry.field}});
}

void ignored_entries::Remove(const std::string& key) {
  if (!logged_.empty()) {
    logged_.erase(key.substr(0, kMaxKeyBytes));
  }
}

}  // namespace auburnfold
