#include "LibRuntime/Connections/server_exchange.h"

#include <utility>

#include "LibRuntime/Connections/server_session.h"

namespace auburnfold {

server_exchange::server_exchange(std::weak_ptr<server_session> session)
    : session_(std::move(session)) {}

void server_exchange::SetDisconnectHandler(
    std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
}

void server_exchange::Abandon() {
  if (on_disconnect_) {
    std::exchange(on_disconnect_, nullptr)();
  }
}

void server_exchange::Defer(std::function<void()> on_turn) {
  on_turn_ = std::move(on_turn);
}

void server_exchange::SetRequest(request_id request,
                                 clock::time_point deadline) {
  request_id_ = std::move(request);
  deadline_ = deadline;
}

std::size_t server_exchange::ResponseRoom() const {
  const auto session = session_.lock();
  return session ? session->memory_->room_for_expected() : 0;
}

void server_exchange::ReserveExpected(std::size_t body_bytes) {
  const auto session = session_.lock();
  if (session && session->memory_->TryReserveExpected(body_bytes)) {
    expected_bytes_ += body_bytes;
  }
}

bool server_exchange::ReserveResponse(std::size_t body_bytes) {
  const auto session = session_.lock();
  return !session || session->ReserveResponse(*this, body_bytes);
}

void server_exchange::Respond(http_response response) {
  if (const auto session = session_.lock()) {
    session->Respond(*this, std::move(response));
  }
}

void server_exchange::RespondAndDrain(http_response response) {
  if (const auto session = session_.lock()) {
    session->DropWaiting();
    session->Respond(*this, std::move(response));
  }
}

void server_exchange::RespondAndClose(http_response response) {
  if (const auto session = session_.lock()) {
    session->DropBehind(*this);
    session->Respond(*this, std::move(response));
  }
}

void server_exchange::CloseConnection() {
  on_disconnect_ = nullptr;
  if (const auto session = session_.lock()) {
    session->OnDisconnected();
  }
}

void server_exchange::EndConnection() {
  on_disconnect_ = nullptr;
  if (const auto session = session_.lock()) {
    session->EndBefore(*this);
  }
}

std::size_t server_exchange::CountBefore() const {
  const auto session = session_.lock();
  return session ? session->CountBefore(*this) : 0;
}

std::optional<call_id> server_exchange::CallBefore() const {
  const auto session = session_.lock();
  return session ? session->CallBefore(*this) : std::nullopt;
}

bool server_exchange::HasPeerClosed() const {
  const auto session = session_.lock();
  return !session || session->HasPeerClosed();
}

std::string server_exchange::peer_host() const {
  const auto session = session_.lock();
  return session ? session->peer_host() : std::string();
}

}  // namespace auburnfold
