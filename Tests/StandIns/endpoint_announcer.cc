#include "StandIns/endpoint_announcer.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kInterval{1000};
constexpr std::chrono::milliseconds kTimeout{900};

std::int64_t MillisecondsSinceEpoch() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

endpoint_announcer::endpoint_announcer(boost::asio::io_context& context,
                                       const endpoint_settings& settings,
                                       http_pool& node,
                                       const endpoint_model& model)
    : settings_(settings),
      node_(node),
      model_(model),
      timer_(context),
      run_(MillisecondsSinceEpoch()) {}

void endpoint_announcer::Announce() {
  if (!model_.faults().is_unannounced) {
    node_.Send(MakeRequest(), kTimeout, [](const exchange_result&) {});
  }
  timer_.expires_after(kInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Announce();
    }
  });
}

http_request endpoint_announcer::MakeRequest() const {
  const endpoint_report report = model_.Report();
  const boost::json::object body = {
      {"service", settings_.service},
      {"port", settings_.address.port},
      {"run", run_},
      {"state", report.is_leaving ? "leaving" : "ready"},
      {"load", report.load},
      {"healthy", report.is_healthy},
      {"connection_limit", settings_.connection_limit}};
  http_request request(http::verb::put, "/auburnfold/v1/endpoint", kHttp11);
  request.set(http::field::host, "node");
  request.set(http::field::content_type, "application/json");
  request.body() = boost::json::serialize(body);
  request.prepare_payload();
  return request;
}

}  // namespace auburnfold
