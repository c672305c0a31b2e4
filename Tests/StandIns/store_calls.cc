#include "StandIns/store_calls.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

constexpr std::array<const char*, 6> kNames = {
    "get", "list", "put", "watch", "create_lease", "renew_lease"};

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

std::optional<store_call> ParseKeyCall(const http_request& request,
                                       const query& asked) {
  store_call call;
  call.key = asked.Text("key").value_or("");
  call.prefix = asked.Text("prefix").value_or("");
  if (request.method() == http::verb::get) {
    call.kind =
        asked.Text("key") ? store_call_kind::kGet : store_call_kind::kList;
    return call;
  }
  const std::optional<std::uint64_t> expected = asked.Number("expected");
  if (request.method() != http::verb::put || call.key.empty() || !expected) {
    return std::nullopt;
  }
  call.kind = store_call_kind::kPut;
  call.expected = *expected;
  call.lease = asked.Number("lease");
  call.value = request.body();
  return call;
}

std::optional<store_call> ParseLeaseCall(const http_request& request,
                                         const query& asked) {
  store_call call;
  call.lease = asked.Number("lease");
  if (request.method() == http::verb::put && call.lease) {
    call.kind = store_call_kind::kRenewLease;
    return call;
  }
  const std::optional<std::uint64_t> ttl = asked.Number("ttl_ms");
  if (request.method() != http::verb::post || !ttl) {
    return std::nullopt;
  }
  call.kind = store_call_kind::kCreateLease;
  call.ttl_ms = *ttl;
  return call;
}

std::optional<store_call> ParseWatchCall(const http_request& request,
                                         const query& asked) {
  store_call call;
  call.kind = store_call_kind::kWatch;
  call.prefix = asked.Text("prefix").value_or("");
  call.after = asked.Number("after").value_or(0);
  if (request.method() != http::verb::get) {
    return std::nullopt;
  }
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
  const query asked(*url);
  const std::string path = url->path();
  if (path == "/v1/kv") {
    return ParseKeyCall(request, asked);
  }
  if (path == "/v1/leases") {
    return ParseLeaseCall(request, asked);
  }
  if (path == "/v1/watch") {
    return ParseWatchCall(request, asked);
  }
  return std::nullopt;
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
