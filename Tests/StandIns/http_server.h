#ifndef STANDINS_HTTP_SERVER_H_
#define STANDINS_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <unordered_map>

#include "StandIns/http_session.h"
#include "auburnfold-load/http_address.h"

namespace auburnfold {

/// Accepts connections and hands their requests to the handlers.
class http_server {
 public:
  /// Listens at once. Throws boost::system::system_error if the port is taken.
  /// Connections above `connection_limit` are marked as over the limit.
  http_server(boost::asio::io_context& context,
              const http_address& address,
              std::size_t connection_limit,
              http_session::handlers handled);

  /// Silences every n-th of the present connections but `asking`, so that
  /// about `share` of them never answer again.
  void SilenceShare(double share, const http_session& asking);
  /// Accepts no more and closes each connection once it is idle.
  void Stop();
  /// Cuts all connections.
  void CutAll();

  std::size_t connection_count() const { return sessions_.size(); }

 private:
  using session_map =
      std::unordered_map<const http_session*, std::weak_ptr<http_session>>;

  void Accept();
  template <class action>
  void ForEach(const action& act);

  std::size_t connection_limit_;
  http_session::handlers handled_;
  session_map sessions_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace auburnfold

#endif  // STANDINS_HTTP_SERVER_H_
