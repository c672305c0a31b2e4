#include "LibDecision/Table/row_editor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibDecision/Table/row_validation.h"

namespace auburnfold {

namespace {

constexpr duration kRetryDelay = std::chrono::milliseconds(300);
constexpr int kMaxAttempts = 5;

bool ContainsChange(const row_versions& versions, const change_id& change) {
  return std::any_of(versions.begin(), versions.end(),
                     [&change](const row_history_entry& entry) {
                       return entry.row.change == change;
                     });
}

admin_result AcceptedResult(const row_versions& current,
                            const change_id& change) {
  const auto found = std::find_if(current.begin(), current.end(),
                                  [&change](const row_history_entry& entry) {
                                    return entry.row.change == change;
                                  });
  return {.row = found->row};
}

admin_result ConflictResult(const row_versions& current) {
  admin_result result{.status = admin_status::kConflict,
                      .reason = "the row has changed"};
  if (!current.empty()) {
    result.row = current.front().row;
  }
  return result;
}

// A deleted row counts as absent, although its tombstone keeps the version
// number. It can be created again by expecting version 0.
bool MatchesExpectedVersion(const row_versions& current, const edit_row& edit) {
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
  const std::uint64_t last_version =
      current.empty() ? 0 : current.front().row.version.value();
  table_row row;
  row.service = edit.service;
  row.request_class = edit.request_class;
  row.version = row_version(last_version + 1);
  row.change = edit.change;
  row.is_deleted = edit.is_deletion;
  row.settings = edit.settings;
  return {row, edit.author};
}

}  // namespace

void row_editor::Begin(event_context& context,
                       admin_call_id call,
                       const edit_row& edit) {
  if (const auto error = Validate(edit)) {
    context.Count(counter::kEditsRefused);
    context.Emit(answer_admin{
        call, {.status = admin_status::kInvalid, .reason = *error}});
    return;
  }
  AddRequest(context, {.call = call, .edit = edit});
}

void row_editor::Begin(event_context& context,
                       admin_call_id call,
                       const read_history& history_request) {
  edit_row row;
  row.service = history_request.service;
  row.request_class = history_request.request_class;
  if (const auto error = Validate(row.service, row.request_class)) {
    context.Emit(answer_admin{
        call, {.status = admin_status::kInvalid, .reason = *error}});
    return;
  }
  const store_call_id id = call_ids_.Next();
  pending_[++last_request_key_] = {.call = call, .pending_call = id};
  context.Count(counter::kStoreCalls);
  context.Emit(
      call_store{id, store_get{RowKey(row.service, row.request_class)}});
}

void row_editor::AddRequest(event_context& context, pending_request request) {
  pending_request& added = pending_[++last_request_key_] = std::move(request);
  ReadRow(context, added);
}

void row_editor::ReadRow(event_context& context, pending_request& request) {
  request.current_stage = stage::kRead;
  request.pending_call = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{
      *request.pending_call,
      store_get{RowKey(request.edit->service, request.edit->request_class)}});
}

void row_editor::WriteRow(event_context& context,
                          pending_request& request,
                          const row_versions& current,
                          store_revision revision) {
  const edit_row& edit = *request.edit;
  row_versions versions{NextVersion(current, edit)};
  versions.insert(versions.end(), current.begin(), current.end());
  versions.resize(std::min(versions.size(), kMaxStoredRowVersions));
  request.current_stage = stage::kWrite;
  request.pending_call = call_ids_.Next();
  request.written_value = EncodeRow(versions);
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{
      *request.pending_call,
      store_compare_and_swap{RowKey(edit.service, edit.request_class),
                             request.written_value, revision}});
}

std::optional<table_row> row_editor::OnStoreAnswered(
    event_context& context,
    const store_answered& answer) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(), [&answer](const auto& entry) {
        return entry.second.pending_call == answer.call;
      });
  if (found == pending_.end()) {
    return std::nullopt;
  }
  const std::uint64_t key = found->first;
  pending_request& request = found->second;
  request.pending_call.reset();
  store_result result = answer.result;
  const bool is_written = request.current_stage == stage::kWrite &&
                          result.status == store_status::kDone;
  if (is_written) {
    result.entries = {
        {RowKey(request.edit->service, request.edit->request_class),
         request.written_value, result.revision}};
  }
  std::optional<table_row> newest_row;
  if (!result.entries.empty()) {
    const store_entry& entry = result.entries.front();
    const auto versions = DecodeRow(entry.key, entry.value);
    newest_row = versions ? std::optional(versions->front().row) : std::nullopt;
  }
  if (request.current_stage == stage::kRead) {
    OnReadResult(context, key, result);
  } else {
    OnWriteResult(context, key, result);
  }
  return newest_row;
}

void row_editor::OnReadResult(event_context& context,
                              std::uint64_t key,
                              const store_result& result) {
  const pending_request& request = pending_.at(key);
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    if (request.may_be_written) {
      return RetryLater(context, key);
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
  ApplyEdit(context, key, WithNewerLocalRow(*request.edit, std::move(stored)),
            revision);
}

// If the key-value store was restored to an earlier state, its newest version
// is older than this node's copy. The copy then goes in front of the stored
// versions, so that no version number is given out twice.
row_versions row_editor::WithNewerLocalRow(const edit_row& edit,
                                           row_versions stored) const {
  const table_row* local_row =
      find_local_row_(edit.service, edit.request_class);
  const bool is_local_newer =
      local_row != nullptr &&
      (stored.empty() || stored.front().row.version < local_row->version);
  if (is_local_newer) {
    stored.insert(stored.begin(), {*local_row, "restored"});
  }
  return stored;
}

void row_editor::ApplyEdit(event_context& context,
                           std::uint64_t key,
                           const row_versions& current,
                           store_revision revision) {
  pending_request& request = pending_.at(key);
  if (ContainsChange(current, request.edit->change)) {
    return Finish(context, key, AcceptedResult(current, request.edit->change));
  }
  if (!MatchesExpectedVersion(current, *request.edit)) {
    return Finish(context, key, ConflictResult(current));
  }
  WriteRow(context, request, current, revision);
}

void row_editor::OnWriteResult(event_context& context,
                               std::uint64_t key,
                               const store_result& result) {
  pending_request& request = pending_.at(key);
  switch (result.status) {
    case store_status::kDone: {
      const store_entry& entry = result.entries.front();
      return Finish(context, key,
                    AcceptedResult(*DecodeRow(entry.key, entry.value),
                                   request.edit->change));
    }
    case store_status::kConflict:
      return RetryLater(context, key);
    case store_status::kLeaseExpired:
    case store_status::kHistoryGone:
    case store_status::kUnavailable:
      context.Count(counter::kStoreFailures);
      if (request.may_be_written) {
        return RetryLater(context, key);
      }
      return Finish(context, key,
                    {.status = admin_status::kStoreUnavailable,
                     .reason = "the key-value service was not reached"});
    case store_status::kUnknown:
      context.Count(counter::kStoreFailures);
      request.may_be_written = true;
      return RetryLater(context, key);
  }
}

// The retry starts with a read, which shows whether the change has been
// written. Writing again is safe, because at most one of the writes finds the
// revision that both expect.
void row_editor::RetryLater(event_context& context, std::uint64_t key) {
  pending_request& request = pending_.at(key);
  ++request.attempts;
  if (request.attempts < kMaxAttempts) {
    context.timers().Schedule({timer_owner::kTable, key},
                              context.now() + kRetryDelay * request.attempts);
    return;
  }
  if (request.may_be_written) {
    return Finish(context, key,
                  {.status = admin_status::kUnknown,
                   .reason = "the change may have been written; send it again "
                             "with the same change id"});
  }
  Finish(
      context, key,
      {.status = admin_status::kConflict, .reason = "the row keeps changing"});
}

void row_editor::OnTimer(event_context& context, std::uint64_t key) {
  const auto found = pending_.find(key);
  if (found != pending_.end()) {
    ReadRow(context, found->second);
  }
}

void row_editor::Finish(event_context& context,
                        std::uint64_t key,
                        admin_result result) {
  const pending_request& request = pending_.at(key);
  if (request.edit) {
    context.Count(result.status == admin_status::kAccepted
                      ? counter::kEditsAccepted
                      : counter::kEditsRefused);
  }
  context.Emit(answer_admin{request.call, std::move(result)});
  pending_.erase(key);
}

}  // namespace auburnfold
