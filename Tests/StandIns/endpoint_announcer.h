#ifndef STANDINS_ENDPOINT_ANNOUNCER_H_
#define STANDINS_ENDPOINT_ANNOUNCER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "StandIns/endpoint_model.h"
#include "StandIns/endpoint_settings.h"
#include "auburnfold-load/http_pool.h"

namespace auburnfold {

/// Tells the node beside the endpoint each second what the endpoint is.
class endpoint_announcer {
 public:
  endpoint_announcer(boost::asio::io_context& context,
                     const endpoint_settings& settings,
                     http_pool& node,
                     const endpoint_model& model);

  /// Announces now and then each second.
  void Announce();

 private:
  http_request MakeRequest() const;

  const endpoint_settings& settings_;
  http_pool& node_;
  const endpoint_model& model_;
  boost::asio::steady_timer timer_;
  /// Differs for each start of the process.
  std::int64_t run_;
};

}  // namespace auburnfold

#endif  // STANDINS_ENDPOINT_ANNOUNCER_H_
