#ifndef LIBRUNTIME_SETTINGS_NODE_SETTINGS_H_
#define LIBRUNTIME_SETTINGS_NODE_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

namespace leaf = boost::leaf;

/// The settings of a node, read from a file whose keys docs/settings.md lists.
struct node_settings {
  /// A hash of `host` and `peer_port` unless the file sets it.
  node_id node;
  std::string host;
  domain_name domain;
  std::uint16_t call_port = 0;
  /// Port for readiness probes in addition to the admin port; 0 for none.
  std::uint16_t ready_port = 0;
  /// Port for the endpoint's reports in addition to the call port; 0 for none.
  std::uint16_t report_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t admin_port = 0;
  std::string endpoint_host = "127.0.0.1";
  /// The port that the endpoint listens on until its report names another; 0 if
  /// unknown.
  std::uint16_t endpoint_port = 0;
  /// The service of the endpoint; empty if the file does not set it.
  service_name service;
  /// The headers and reports that callers and the endpoint use: `own` or
  /// `platform`.
  std::string dialect = "own";
  std::vector<node_address> seeds;
  std::string store_host;
  std::uint16_t store_port = 0;
  /// Maximum time from a stop request to the end of the process.
  std::chrono::milliseconds stop_limit{30'000};
  /// A stopping node that has no open requests ends once no new request has
  /// arrived for this long.
  std::chrono::milliseconds stop_linger{1'000};
  /// Requests with an API key are refused if the key may have been removed more
  /// than this long ago; zero for no limit.
  std::chrono::milliseconds api_key_validity{};
  /// Maximum number of values of a metric's label. Further values are counted
  /// as `other`.
  std::size_t label_limit = 64;
  std::string log_level = "info";
  /// When the node learns how much endpoints take: `never`, `with_downloads` or
  /// `always`.
  std::string capacity_planning = "never";
  /// The settings of the administration API as JSON text. LibAdmin validates
  /// them.
  std::string admin = "{}";
};

/// An invalid or unreadable settings file.
struct settings_error {
  std::string file;
  /// Empty if the error concerns the file as a whole.
  std::string key;
  std::string reason;
};

/// Reads a settings file. Fails with `settings_error`.
leaf::result<node_settings> LoadNodeSettings(const std::string& file);

/// Parses the settings in `text`. `file` only appears in errors. Fails with
/// `settings_error`.
leaf::result<node_settings> ParseNodeSettings(const std::string& file,
                                              std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_SETTINGS_NODE_SETTINGS_H_
