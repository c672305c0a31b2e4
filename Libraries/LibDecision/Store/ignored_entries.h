#ifndef LIBDECISION_STORE_IGNORED_ENTRIES_H_
#define LIBDECISION_STORE_IGNORED_ENTRIES_H_

#include <map>
#include <string>

#include "LibDecision/event_context.h"
#include "LibDecision/store_call.h"

namespace auburnfold {

/// Entries of the key-value store that name nothing to use. Listings show them
/// again and again; each revision is logged once.
class ignored_entries {
 public:
  void Add(event_context& context, const unreadable_entry& entry);
  /// The key holds an entry that can be read, or none.
  void Remove(const std::string& key);

 private:
  std::map<std::string, store_revision> logged_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_IGNORED_ENTRIES_H_
