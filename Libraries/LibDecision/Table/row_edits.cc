#include "LibDecision/Table/row_edits.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibDecision/Table/row_rules.h"

namespace auburnfold {

namespace {

constexpr duration kRetryDelay = std::chrono::milliseconds(300);
constexpr int kMostTries = 5;

bool Contains(const row_versions& versions, const change_id& change) {
  return std::any_of(versions.begin(), versions.end(),
                     [&change](const row_history_entry& entry) {
                       return entry.row.change == change;
                     });
}

admin_result Accepted(const row_versions& current, const change_id& change) {
  const auto found = std::find_if(current.begin(), current.end(),
                                  [&change](const row_history_entry& entry) {
                                    return entry.row.change == change;
                                  });
  return {.row = found->row};
}

admin_result Conflict(const row_versions& current) {
  admin_result result{.status = admin_status::kConflict,
                      .reason = "the row has changed"};
  if (!current.empty()) {
    result.row = current.front().row;
  }
  return result;
}

// A deleted row counts as absent, and its tombstone still counts versions.
bool IsExpected(const row_versions& current, const edit_row& edit) {
  const row_version version =
      current.empty() ? row_version(0) : current.front().row.version;
  if (edit.expected == version) {
    return !(current.empty() && edit.is_deletion);
  }
  const bool is_absent = current.empty() || current.front().row.is_deleted;
  return is_absent && edit.expected == row_version(0) && !edit.is_deletion;
}

row_history_entry NextVersion(const row_versions& current,
                              const edit_row& edit) {
  const std::uint64_t last =
      current.empty() ? 0 : current.front().row.version.value();
  table_row row;
  row.service = edit.service;
  row.request_class = edit.request_class;
  row.version = row_version(last + 1);
  row.change = edit.change;
  row.is_deleted = edit.is_deletion;
  row.settings = edit.settings;
  return {row, edit.author};
}

}  // namespace

void row_edits::Begin(event_context& context,
                      admin_call_id call,
                      const edit_row& edit) {
  if (const auto fault = FaultIn(edit)) {
    context.Count(counter::kEditsRefused);
    context.Emit(answer_admin{
        call, {.status = admin_status::kInvalid, .reason = *fault}});
    return;
  }
  Open(context, {.call = call, .edit = edit});
}

void row_edits::Begin(event_context& context,
                      admin_call_id call,
                      const read_history& wanted) {
  edit_row named;
  named.service = wanted.service;
  named.request_class = wanted.request_class;
  if (const auto fault = FaultIn(named.service, named.request_class)) {
    context.Emit(answer_admin{
        call, {.status = admin_status::kInvalid, .reason = *fault}});
    return;
  }
  const store_call_id id = call_ids_.Next();
  open_[++opened_] = {.call = call, .waits_for = id};
  context.Count(counter::kStoreCalls);
  context.Emit(
      call_store{id, store_get{RowKey(named.service, named.request_class)}});
}

void row_edits::Open(event_context& context, open_request request) {
  open_request& opened = open_[++opened_] = std::move(request);
  Read(context, opened);
}

void row_edits::Read(event_context& context, open_request& request) {
  request.at = stage::kRead;
  request.waits_for = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{
      *request.waits_for,
      store_get{RowKey(request.edit->service, request.edit->request_class)}});
}

void row_edits::Write(event_context& context,
                      open_request& request,
                      const row_versions& current,
                      store_revision revision) {
  const edit_row& edit = *request.edit;
  row_versions versions{NextVersion(current, edit)};
  versions.insert(versions.end(), current.begin(), current.end());
  versions.resize(std::min(versions.size(), kKeptRowVersions));
  request.at = stage::kWrite;
  request.waits_for = call_ids_.Next();
  request.written_value = EncodeRow(versions);
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{
      *request.waits_for,
      store_compare_and_swap{RowKey(edit.service, edit.request_class),
                             request.written_value, revision}});
}

std::optional<table_row> row_edits::OnStoreAnswered(
    event_context& context,
    const store_answered& answer) {
  const auto found =
      std::find_if(open_.begin(), open_.end(), [&answer](const auto& entry) {
        return entry.second.waits_for == answer.call;
      });
  if (found == open_.end()) {
    return std::nullopt;
  }
  const std::uint64_t key = found->first;
  open_request& request = found->second;
  request.waits_for.reset();
  store_result result = answer.result;
  const bool is_written =
      request.at == stage::kWrite && result.status == store_status::kDone;
  if (is_written) {
    result.entries = {
        {RowKey(request.edit->service, request.edit->request_class),
         request.written_value, result.revision}};
  }
  std::optional<table_row> shown;
  if (!result.entries.empty()) {
    const store_entry& entry = result.entries.front();
    const auto versions = DecodeRow(entry.key, entry.value);
    shown = versions ? std::optional(versions->front().row) : std::nullopt;
  }
  if (request.at == stage::kRead) {
    OnRead(context, key, result);
  } else {
    OnWritten(context, key, result);
  }
  return shown;
}

void row_edits::OnRead(event_context& context,
                       std::uint64_t key,
                       const store_result& result) {
  const open_request& request = open_.at(key);
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    if (request.is_uncertain) {
      return TryAgain(context, key);
    }
    return Finish(context, key,
                  {.status = admin_status::kStoreUnavailable,
                   .reason = "the key-value service does not answer"});
  }
  row_versions stored;
  store_revision revision;
  if (!result.entries.empty()) {
    const store_entry& entry = result.entries.front();
    revision = entry.revision;
    stored = DecodeRow(entry.key, entry.value).value_or(row_versions{});
  }
  if (!request.edit) {
    admin_result history{.history = stored};
    if (!stored.empty()) {
      history.row = stored.front().row;
    }
    return Finish(context, key, std::move(history));
  }
  Decide(context, key, NewestOf(*request.edit, std::move(stored)), revision);
}

// A store restored to an earlier value must not hand out a version for the
// second time, so this node's own newer copy goes before what is stored.
row_versions row_edits::NewestOf(const edit_row& edit,
                                 row_versions stored) const {
  const table_row* own = find_(edit.service, edit.request_class);
  const bool is_own_newer =
      own != nullptr &&
      (stored.empty() || stored.front().row.version < own->version);
  if (is_own_newer) {
    stored.insert(stored.begin(), {*own, "restored"});
  }
  return stored;
}

void row_edits::Decide(event_context& context,
                       std::uint64_t key,
                       const row_versions& current,
                       store_revision revision) {
  open_request& request = open_.at(key);
  if (Contains(current, request.edit->change)) {
    return Finish(context, key, Accepted(current, request.edit->change));
  }
  if (!IsExpected(current, *request.edit)) {
    return Finish(context, key, Conflict(current));
  }
  Write(context, request, current, revision);
}

void row_edits::OnWritten(event_context& context,
                          std::uint64_t key,
                          const store_result& result) {
  open_request& request = open_.at(key);
  switch (result.status) {
    case store_status::kDone: {
      const store_entry& entry = result.entries.front();
      return Finish(
          context, key,
          Accepted(*DecodeRow(entry.key, entry.value), request.edit->change));
    }
    case store_status::kConflict:
      return TryAgain(context, key);
    case store_status::kLeaseExpired:
    case store_status::kHistoryGone:
    case store_status::kUnavailable:
      context.Count(counter::kStoreFailures);
      if (request.is_uncertain) {
        return TryAgain(context, key);
      }
      return Finish(context, key,
                    {.status = admin_status::kStoreUnavailable,
                     .reason = "the key-value service was not reached"});
    case store_status::kUnknown:
      context.Count(counter::kStoreFailures);
      request.is_uncertain = true;
      return TryAgain(context, key);
  }
}

// Reading again tells whether the change is there. Writing again is safe: at
// most one of the writes finds the revision that both expect.
void row_edits::TryAgain(event_context& context, std::uint64_t key) {
  open_request& request = open_.at(key);
  ++request.tries;
  if (request.tries < kMostTries) {
    context.timers().Schedule({timer_owner::kTable, key},
                              context.now() + kRetryDelay * request.tries);
    return;
  }
  if (request.is_uncertain) {
    return Finish(context, key,
                  {.status = admin_status::kUnknown,
                   .reason = "the change may have been written; send it again "
                             "with the same change id"});
  }
  Finish(
      context, key,
      {.status = admin_status::kConflict, .reason = "the row keeps changing"});
}

void row_edits::OnTimer(event_context& context, std::uint64_t key) {
  const auto found = open_.find(key);
  if (found != open_.end()) {
    Read(context, found->second);
  }
}

void row_edits::Finish(event_context& context,
                       std::uint64_t key,
                       admin_result result) {
  const open_request& request = open_.at(key);
  if (request.edit) {
    context.Count(result.status == admin_status::kAccepted
                      ? counter::kEditsAccepted
                      : counter::kEditsRefused);
  }
  context.Emit(answer_admin{request.call, std::move(result)});
  open_.erase(key);
}

}  // namespace auburnfold
