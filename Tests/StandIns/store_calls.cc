#include "StandIns/store_calls.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <exception>
#include <string_view>

#include "LibWire/base64.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

constexpr std::array<const char*, 7> kNames = {
    "get", "list", "put", "watch", "create_lease", "renew_lease", "end_lease"};

constexpr std::string_view kRenewPath = "/kv-keep/";
constexpr std::string_view kEndPath = "/kv-lease-end/";

/// The query of a request, decoded.
class query {
 public:
  explicit query(const boost::urls::url_view& url) : params_(url.params()) {}

  std::optional<std::string> Text(const char* name) const {
    const auto found = params_.find(name);
    if (found == params_.end()) {
      return std::nullopt;
    }
    return (*found).value;
  }

  std::optional<std::uint64_t> Number(const char* name) const {
    const std::optional<std::string> text = Text(name);
    if (!text) {
      return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* const last = text->data() + text->size();
    const auto [end, error] = std::from_chars(text->data(), last, number);
    if (error != std::errc() || end != last) {
      return std::nullopt;
    }
    return number;
  }

 private:
  boost::urls::params_view params_;
};

std::optional<store_call> ParseRead(std::string_view path, const query& asked) {
  store_call call;
  call.prefix = asked.Text("prefix").value_or("");
  if (path == "/kv-range") {
    call.kind = store_call_kind::kList;
    return call;
  }
  if (path == "/kv-watch") {
    call.kind = store_call_kind::kWatch;
    call.after = asked.Number("after").value_or(0);
    call.wait_ms = asked.Number("waitMs").value_or(0);
    return call;
  }
  const auto key = asked.Text("key");
  if (path != "/kv-key" || !key) {
    return std::nullopt;
  }
  call.kind = store_call_kind::kGet;
  call.key = *key;
  return call;
}

/// The only entry of a list in `body`; null if there is another number.
const boost::json::object* OnlyEntry(const boost::json::object& body,
                                     std::string_view name) {
  const boost::json::value* list = body.if_contains(name);
  const bool is_single =
      list != nullptr && list->is_array() && list->get_array().size() == 1;
  return is_single ? list->get_array().front().if_object() : nullptr;
}

std::optional<store_call> ParseChange(const boost::json::object& body) {
  const boost::json::object* expected = OnlyEntry(body, "expect");
  const boost::json::object* written = OnlyEntry(body, "writes");
  if (expected == nullptr || written == nullptr) {
    return std::nullopt;
  }
  store_call call;
  call.kind = store_call_kind::kPut;
  call.key = boost::json::value_to<std::string>(written->at("key"));
  call.expected =
      boost::json::value_to<std::uint64_t>(expected->at("revision"));
  const auto lease = boost::json::value_to<std::uint64_t>(written->at("lease"));
  if (lease != 0) {
    call.lease = lease;
  }
  const auto value =
      FromBase64(boost::json::value_to<std::string>(written->at("value")));
  if (!value || expected->at("key") != written->at("key")) {
    return std::nullopt;
  }
  call.value = *value;
  return call;
}

std::optional<store_call> ParseLeaseCall(store_call_kind kind,
                                         std::string_view id) {
  store_call call;
  call.kind = kind;
  std::uint64_t lease = 0;
  const auto [end, error] =
      std::from_chars(id.data(), id.data() + id.size(), lease);
  if (error != std::errc() || end != id.data() + id.size()) {
    return std::nullopt;
  }
  call.lease = lease;
  return call;
}

std::optional<store_call> ParseWrite(std::string_view path,
                                     const std::string& body) {
  if (path.starts_with(kRenewPath)) {
    return ParseLeaseCall(store_call_kind::kRenewLease,
                          path.substr(kRenewPath.size()));
  }
  const boost::json::object fields = boost::json::parse(body).as_object();
  if (path == "/kv-txn") {
    return ParseChange(fields);
  }
  if (path != "/kv-lease") {
    return std::nullopt;
  }
  store_call call;
  call.kind = store_call_kind::kCreateLease;
  call.ttl_s = boost::json::value_to<double>(fields.at("ttlS"));
  return call;
}

}  // namespace

std::optional<store_call> ParseStoreCall(const http_request& request) {
  const auto target = request.target();
  const auto url =
      boost::urls::parse_origin_form({target.data(), target.size()});
  if (!url) {
    return std::nullopt;
  }
  const std::string path = url->path();
  if (request.method() == http::verb::get) {
    return ParseRead(path, query(*url));
  }
  if (request.method() == http::verb::delete_ && path.starts_with(kEndPath)) {
    return ParseLeaseCall(store_call_kind::kEndLease,
                          std::string_view(path).substr(kEndPath.size()));
  }
  if (request.method() != http::verb::post) {
    return std::nullopt;
  }
  try {
    return ParseWrite(path, request.body());
  } catch (const std::exception&) {
    // A body that is not of the call's form makes no call.
    return std::nullopt;
  }
}

void store_call_counts::Add(store_call_kind kind) {
  ++counts_[static_cast<std::size_t>(kind)];
}

boost::json::object store_call_counts::Counts() const {
  boost::json::object counts;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kKinds; ++i) {
    counts[kNames[i]] = counts_[i];
    total += counts_[i];
  }
  counts["total"] = total;
  return counts;
}

}  // namespace auburnfold
