#include "LibRuntime/Connections/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnfold {

connection_pool::connection_pool(asio::io_context& io,
                                 tcp::endpoint to,
                                 id_source next_id,
                                 closed_handler on_closed_by_peer,
                                 body_memory& memory,
                                 std::size_t max_header_bytes)
    : io_(io),
      to_(std::move(to)),
      next_id_(std::move(next_id)),
      on_closed_by_peer_(std::move(on_closed_by_peer)) {
  handlers_.memory = &memory;
  handlers_.max_header_bytes = max_header_bytes;
  handlers_.on_idle = [this](const std::shared_ptr<client_connection>& idle) {
    idle_.push_back(idle);
  };
  handlers_.on_closed = [this](const std::shared_ptr<client_connection>& closed,
                               bool by_peer) {
    open_.erase(closed->id());
    std::erase(idle_, closed);
    if (by_peer) {
      on_closed_by_peer_(closed->id());
    }
  };
}

connection_pool::~connection_pool() {
  const auto open = std::move(open_);
  for (const auto& [id, connection] : open) {
    connection->Cancel();
    connection->Close();
  }
}

std::weak_ptr<client_connection> connection_pool::Send(client_request request) {
  if (const auto idle = TakeIdle(request)) {
    idle->Send(std::move(request));
    return idle;
  }
  auto connection =
      std::make_shared<client_connection>(io_, next_id_(), handlers_);
  open_.emplace(connection->id(), connection);
  connection->Connect(to_, std::move(request));
  return connection;
}

std::shared_ptr<client_connection> connection_pool::TakeIdle(
    const client_request& request) {
  for (;;) {
    const auto found =
        std::find_if(idle_.rbegin(), idle_.rend(),
                     [&](const std::shared_ptr<client_connection>& connection) {
                       return connection->MayCarry(request);
                     });
    if (found == idle_.rend()) {
      return nullptr;
    }
    std::shared_ptr<client_connection> connection = std::move(*found);
    idle_.erase(std::next(found).base());
    if (!connection->CloseIfReadable()) {
      return connection;
    }
  }
}

void connection_pool::TestPeer(std::chrono::milliseconds timeout,
                               std::function<void(bool is_refused)> done) {
  auto connection =
      std::make_shared<client_connection>(io_, next_id_(), handlers_);
  open_.emplace(connection->id(), connection);
  client_request test{.is_connect_only = true};
  test.on_finished = [done = std::move(done)](const client_result& result) {
    done(result.error && result.is_closed_by_peer);
  };
  const auto timer = std::make_shared<asio::steady_timer>(io_, timeout);
  timer->async_wait(
      [timer, tested = std::weak_ptr(connection)](error_code error) {
        const auto open = tested.lock();
        if (!error && open) {
          open->StopConnecting();
        }
      });
  connection->Connect(to_, std::move(test));
}

bool connection_pool::Close(connection_id id) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return false;
  }
  const std::shared_ptr<client_connection> connection = found->second;
  connection->Close();
  return true;
}

void connection_pool::CloseIfIdle(connection_id id) {
  const auto found = open_.find(id);
  if (found != open_.end() && found->second->is_idle()) {
    const std::shared_ptr<client_connection> connection = found->second;
    connection->Close();
  }
}

void connection_pool::Sweep() {
  const client_connection::clock::time_point now =
      client_connection::clock::now();
  std::vector<std::shared_ptr<client_connection>> all;
  all.reserve(open_.size());
  for (const auto& [id, connection] : open_) {
    all.push_back(connection);
  }
  for (const std::shared_ptr<client_connection>& connection : all) {
    connection->CloseIfStale(now);
  }
}

}  // namespace auburnfold
