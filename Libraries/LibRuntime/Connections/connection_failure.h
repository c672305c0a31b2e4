#ifndef LIBRUNTIME_CONNECTIONS_CONNECTION_FAILURE_H_
#define LIBRUNTIME_CONNECTIONS_CONNECTION_FAILURE_H_

#include <exception>

namespace auburnfold {

/// Logs the exception that ended a connection.
void LogConnectionFailure(const std::exception& error);

/// Runs `handler`, which is called by the event loop for one connection. If it
/// throws, runs `close`, which ends the connection, so that no other one is
/// concerned.
template <class connection_handler, class close_handler>
void RunForConnection(const connection_handler& handler,
                      const close_handler& close) {
  try {
    handler();
  } catch (const std::exception& error) {
    LogConnectionFailure(error);
    close();
  }
}

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_CONNECTION_FAILURE_H_
