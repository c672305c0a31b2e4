#ifndef TESTS_LIBCLIENT_FAKE_NODE_H_
#define TESTS_LIBCLIENT_FAKE_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnfold::testing_support {

/// A server in this process that answers the requests it gets with the given
/// bytes, one after the other; an empty answer, or one that says
/// `Connection: close`, closes the connection.
class fake_node {
 public:
  explicit fake_node(std::vector<std::string> answers);
  ~fake_node();

  std::uint16_t port() const;
  /// The requests so far, as text. Call it between two calls of the client.
  const std::vector<std::string>& requests() const;
  /// Connections accepted so far.
  int connections() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

/// An answer of a node with the given headers, each line ended by CRLF.
std::string NodeAnswer(unsigned status,
                       const std::string& headers,
                       const std::string& body = {});

}  // namespace auburnfold::testing_support

#endif  // TESTS_LIBCLIENT_FAKE_NODE_H_
