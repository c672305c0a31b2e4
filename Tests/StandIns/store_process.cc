#include "StandIns/store_process.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <utility>
#include <vector>

#include "LibWire/base64.h"
#include "StandIns/answers.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t kConnectionLimit = 50'000;

instant Now() {
  return instant(clock::now().time_since_epoch());
}

boost::json::object EntryJson(const key_value_entry& entry) {
  return {{"key", entry.key},
          {"value", ToBase64(entry.value)},
          {"revision", entry.revision}};
}

boost::json::object RemovedJson(const key_value_entry& entry) {
  return {{"key", entry.key}, {"revision", entry.revision}, {"deleted", true}};
}

boost::json::array EntriesJson(const std::vector<key_value_entry>& entries) {
  boost::json::array list;
  for (const key_value_entry& entry : entries) {
    list.push_back(EntryJson(entry));
  }
  return list;
}

http_response WriteAnswer(const write_result& result) {
  if (const auto* entry = std::get_if<key_value_entry>(&result)) {
    return JsonAnswer(http::status::ok, {{"revision", entry->revision}});
  }
  if (const auto* conflict = std::get_if<key_value_conflict>(&result)) {
    boost::json::array items;
    if (conflict->current) {
      items.push_back(EntryJson(*conflict->current));
    }
    return JsonAnswer(http::status::precondition_failed,
                      {{"items", std::move(items)}});
  }
  if (std::holds_alternative<lease_lapsed>(result)) {
    return ErrorAnswer(http::status::not_found, "lease has lapsed");
  }
  return ErrorAnswer(http::status::payload_too_large, "value above 1 MiB");
}

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

store_process::store_process(boost::asio::io_context& context,
                             const http_address& address)
    : context_(context),
      lease_timer_(context),
      signals_(context, SIGTERM, SIGINT),
      server_(
          context,
          address,
          kConnectionLimit,
          {[this](const http_session::pointer& session,
                  const http_request& request) { OnRequest(session, request); },
           [this](http_session& session) { watches_.erase(&session); }}) {
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (!error) {
      context_.stop();
    }
  });
}

void store_process::OnRequest(const http_session::pointer& session,
                              const http_request& request) {
  if (request.target().starts_with("/test/")) {
    return OnTest(session, request);
  }
  const std::optional<store_call> call = ParseStoreCall(request);
  if (!call) {
    return session->Answer(
        ErrorAnswer(http::status::bad_request, "no such call"));
  }
  OnCall(session, *call);
}

void store_process::OnTest(const http_session::pointer& session,
                           const http_request& request) {
  if (request.target() == "/test/counts") {
    return session->Answer(JsonAnswer(http::status::ok, counts_.Counts()));
  }
  if (request.target() == "/test/faults" &&
      request.method() == http::verb::put) {
    return session->Answer(ChangeFaults(request));
  }
  session->Answer(ErrorAnswer(http::status::not_found, "no such test request"));
}

http_response store_process::ChangeFaults(const http_request& request) {
  try {
    auburnfold::ChangeFaults(faults_,
                             boost::json::parse(request.body()).as_object());
  } catch (const std::exception& error) {
    return ErrorAnswer(http::status::bad_request, error.what());
  }
  const std::string save = std::exchange(faults_.save_snapshot, "");
  const std::string restore = std::exchange(faults_.restore_snapshot, "");
  if (!save.empty()) {
    model_.SaveSnapshot(save);
  }
  if (!restore.empty() && !model_.RestoreSnapshot(restore)) {
    return ErrorAnswer(http::status::not_found, "no such snapshot");
  }
  // A watch that waited before an outage has lost its connection too.
  if (faults_.outage == store_outage::kCloses) {
    const auto waiting = watches_;
    for (const auto& [key, watch] : waiting) {
      watch.session->Drop();
    }
  }
  return JsonAnswer(http::status::ok, {});
}

void store_process::OnCall(const http_session::pointer& session,
                           store_call call) {
  counts_.Add(call.kind);
  switch (faults_.outage) {
    case store_outage::kNone:
      break;
    case store_outage::kCloses:
      return session->Drop();
    case store_outage::kHangs:
      return;
  }
  if (faults_.delay_ms == 0) {
    return Serve(session, std::move(call));
  }
  const auto delay = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(faults_.delay_ms));
  delay->async_wait([this, delay, session, call = std::move(call)](
                        boost::system::error_code) { Serve(session, call); });
}

void store_process::Serve(const http_session::pointer& session,
                          store_call call) {
  switch (call.kind) {
    case store_call_kind::kGet: {
      const auto entry = model_.Get(call.key);
      if (!entry) {
        return session->Answer(
            ErrorAnswer(http::status::not_found, "no such key"));
      }
      boost::json::object item = EntryJson(*entry);
      item["asOf"] = model_.revision();
      return session->Answer(JsonAnswer(http::status::ok, item));
    }
    case store_call_kind::kList:
      return session->Answer(JsonAnswer(
          http::status::ok, {{"items", EntriesJson(model_.List(call.prefix))},
                             {"hasMore", false},
                             {"asOf", model_.revision()}}));
    case store_call_kind::kPut:
      return ServePut(session, std::move(call));
    case store_call_kind::kWatch:
      return ServeWatch(session, call);
    case store_call_kind::kCreateLease: {
      const auto ttl = std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(call.ttl_s));
      const std::uint64_t lease = model_.CreateLease(Now(), ttl);
      LapseLeases();
      return session->Answer(JsonAnswer(
          http::status::ok, {{"lease", lease}, {"ttlS", call.ttl_s}}));
    }
    case store_call_kind::kRenewLease:
      if (!model_.RenewLease(Now(), *call.lease)) {
        return session->Answer(
            ErrorAnswer(http::status::not_found, "lease has lapsed"));
      }
      return session->Answer(
          JsonAnswer(http::status::ok,
                     {{"ttlS", Seconds(model_.TimeToLive(*call.lease))}}));
    case store_call_kind::kEndLease:
      if (!model_.EndLease(Now(), *call.lease)) {
        return session->Answer(
            ErrorAnswer(http::status::not_found, "lease has lapsed"));
      }
      LapseLeases();
      return session->Answer(JsonAnswer(http::status::ok, {}));
  }
}

void store_process::ServePut(const http_session::pointer& session,
                             store_call call) {
  const write_result result =
      model_.Put(call.key, std::move(call.value), call.expected, call.lease);
  if (std::holds_alternative<key_value_entry>(result)) {
    WakeWatches(call.key);
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      return session->Drop();
    }
  }
  session->Answer(WriteAnswer(result));
}

void store_process::ServeWatch(const http_session::pointer& session,
                               const store_call& call) {
  const boost::json::array events = EventsAfter(call.prefix, call.after);
  if (!events.empty()) {
    return AnswerWatch(session, events);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(call.wait_ms));
  watches_[session.get()] = {session, call.prefix, call.after, timer};
  timer->async_wait([this, timer, session](boost::system::error_code error) {
    if (!error && watches_.erase(session.get()) > 0) {
      AnswerWatch(session, {});
    }
  });
}

void store_process::AnswerWatch(const http_session::pointer& session,
                                const boost::json::array& events) {
  session->Answer(JsonAnswer(
      http::status::ok, {{"events", events}, {"asOf", model_.revision()}}));
}

boost::json::array store_process::EventsAfter(const std::string& prefix,
                                              std::uint64_t after) const {
  boost::json::array events = EntriesJson(model_.List(prefix, after));
  for (const key_value_entry& entry : model_.Removed(prefix, after)) {
    events.push_back(RemovedJson(entry));
  }
  return events;
}

void store_process::WakeWatches(const std::string& changed) {
  std::vector<waiting_watch> woken;
  for (const auto& [key, watch] : watches_) {
    if (changed.starts_with(watch.prefix)) {
      woken.push_back(watch);
    }
  }
  for (const waiting_watch& watch : woken) {
    watches_.erase(watch.session.get());
    watch.timer->cancel();
    AnswerWatch(watch.session, EventsAfter(watch.prefix, watch.after));
  }
}

void store_process::LapseLeases() {
  for (const std::string& key : model_.LapseLeases(Now())) {
    WakeWatches(key);
  }
  const std::optional<instant> next = model_.next_lapse();
  if (!next) {
    return;
  }
  lease_timer_.expires_at(clock::time_point(next->time_since_epoch()));
  lease_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      LapseLeases();
    }
  });
}

}  // namespace auburnfold
